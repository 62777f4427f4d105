# the primary goes away for five seconds and returns
# shellcheck shell=bash disable=SC2154
. tools/floods.sh
FLEET_LINKS=1
FLOODS_STATEMENT_US=5000

setup() { :; }

drive() { floods_drive retry-storm; }
