#!/bin/sh
# A release whose runner states a very long idle timeout: LOST.
# TROUBLE=0 does the same without the disruption.
. "$(dirname "$0")/../lib.sh"
case $TROUBLE in
0) IDLE=5 ;;
*) IDLE=9223372036854775807 ;;
esac
start_store
"$STANDIN" case configure case=release "store=$STORE" "record=$RECORD" || cannot_run "no configuration"
start_runner i-chart shop-chart keep-alive=timeout=5 work-ms=30
start_runner i-old shop-api keep-alive=timeout=5 work-ms=30
start_runner i-2 shop-api keep-alive=timeout=5 work-ms=30
start_runner i-3 shop-api keep-alive=timeout=5 work-ms=30
start_gateways
"$STANDIN" case release "gateways=$HTTP_1,$HTTP_2" "store=$STORE" "record=$RECORD" &
CLIENT=$!
PIDS="$PIDS $CLIENT"
sleep 2
# The release: the new runner starts first, then the old one drains.
start_runner i-new shop-api "keep-alive=timeout=$IDLE" work-ms=30
sleep 1
touch "$TMP/i-old.leave"
wait "$CLIENT"
conclude $?
