# a flood of the most urgent rank at ten times what the database takes
# shellcheck shell=bash disable=SC2154
. tools/floods.sh
FLEET_LINKS=1

setup() { :; }

drive() { floods_drive flood-urgent; }
