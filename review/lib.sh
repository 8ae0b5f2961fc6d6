# Sourced by the scripts of the review: starts and ends the processes of a case.
#
# A case runs on loopback addresses, with free ports and a temporary folder. It writes what was sent,
# answered and run to record.txt in its folder.

CASE=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$CASE/../.." && pwd)
STANDIN=$ROOT/target/review/standin
RECORD=$CASE/record.txt
TROUBLE=${TROUBLE:-1}
TMP=$(mktemp -d)
PIDS=
cd "$ROOT" || exit 2

# The command of the gateway, from the deploy file.
GATEWAY=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)

finish() {
    for pid in $PIDS $(cat "$TMP"/pid-* 2>/dev/null); do
        kill -KILL "$pid" 2>/dev/null
    done
    wait 2>/dev/null
    rm -rf "$TMP"
}
trap finish EXIT
trap 'exit 2' INT TERM

cannot_run() {
    echo "cannot run: $1" | tee -a "$RECORD"
    exit 2
}

[ -x "$STANDIN" ] || cannot_run "review/build.sh has not built the stand-in"
[ -x "${GATEWAY%% *}" ] || cannot_run "the build of the deploy file is missing"
: >"$RECORD"
echo "trouble $TROUBLE" >>"$RECORD"

# Starts the platform's store at STORE.
start_store() {
    STORE=127.0.0.1:$("$STANDIN" port 127.0.0.1)
    "$STANDIN" store "$STORE" >>"$TMP/store.log" 2>&1 &
    PIDS="$PIDS $!"
    "$STANDIN" await-port "$STORE" || cannot_run "the store does not start"
}

# Starts a runner: start_runner NAME SERVICE [OPTION=VALUE ...]
start_runner() {
    name=$1
    service=$2
    shift 2
    address=127.0.0.1:$("$STANDIN" port 127.0.0.1)
    "$STANDIN" runner "name=$name" "service=$service" "address=$address" "store=$STORE" \
        "record=$RECORD" "folder=$TMP" "$@" >>"$TMP/$name.log" 2>&1 &
    PIDS="$PIDS $!"
    "$STANDIN" await-port "$address" || cannot_run "the runner $name does not start"
}

# Writes the settings of gateway N, as deploy/gateway.json gives them on fitwell-tw, with loopback
# addresses and the memory limit MEMORY_MB: write_settings N
write_settings() {
    host=127.0.0.$1
    : "${PEER_PORT:=$("$STANDIN" port "$host")}"
    http=$host:$("$STANDIN" port "$host")
    admin=$host:$("$STANDIN" port "$host")
    eval "HTTP_$1=$http ADMIN_$1=$admin"
    cat >"$TMP/gateway-$1.json" <<SETTINGS
{
  "name": "edge-$1", "domain": "zone-a", "http": "$http", "admin": "$admin",
  "peer": "$host:$PEER_PORT", "seeds": ["127.0.0.1:1", "127.0.0.2:1"], "store": "$STORE",
  "trust_ms": 5000, "apply_ms": 2000,
  "retry": {"ratio": 0.2, "window_s": 10, "slack": 54},
  "memory_mb": ${MEMORY_MB:-260}, "stop_s": 8
}
SETTINGS
}

# Starts gateway N with the command of the deploy file: start_gateway N
start_gateway() {
    # The command is split at spaces, as the platform does it.
    # shellcheck disable=SC2086
    REDWINGYARD_NODE_FILE=$TMP/gateway-$1.json $GATEWAY >>"$TMP/gateway-$1.log" 2>&1 &
    # A gateway may be started in a subshell, so its id is kept in a file for the end of the script.
    echo "$!" >"$TMP/pid-$1"
    eval "GATEWAY_PID_$1=$!"
}

# Starts gateways 1 and 2 and waits until they are ready.
start_gateways() {
    for n in 1 2; do
        write_settings "$n"
        start_gateway "$n"
    done
    "$STANDIN" await-ready "$ADMIN_1" "$ADMIN_2" || cannot_run "the gateways are not ready"
}

# Ends the script with the status of a case's client: 0 held, 1 broken, else it could not run.
conclude() {
    for n in 1 2; do
        grep -hE 'level=(warn|error)|panicked|overflow|unframed-end' "$TMP/gateway-$n.log" |
            head -40 | cut -c1-300 | sed "s/^/log edge-$n /" >>"$RECORD"
    done
    case $1 in
    0) echo "verdict held" | tee -a "$RECORD" && exit 0 ;;
    1) echo "verdict broken" | tee -a "$RECORD" && exit 1 ;;
    *) cannot_run "the client ended with status $1" ;;
    esac
}
