# shares of reads served by replicas, one of which falls behind and returns
# shellcheck shell=bash disable=SC2154
. tools/floods.sh
FLEET_LINKS=1
FLOODS_STATEMENT_US=5000

setup() { :; }

drive() { floods_drive replica-reads --lag-ms 200; }
