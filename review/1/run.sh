#!/bin/sh
# The configuration grows to 10,000 tenants and moves a route: CONFIG.
# TROUBLE=0 does the same without the disruption.
. "$(dirname "$0")/../lib.sh"
start_store
"$STANDIN" case configure case=growth "store=$STORE" "record=$RECORD" || cannot_run "no configuration"
start_runner i-old shop-api
start_runner i-new shop-new
start_gateways
"$STANDIN" case growth "gateways=$HTTP_1,$HTTP_2" "store=$STORE" "record=$RECORD" "trouble=$TROUBLE"
conclude $?
