# Functions for the scripts in this folder: building, and starting and stopping processes.
root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
version="0.1.0-SNAPSHOT"
logging="${CLEMENTINEPOST_LOGGING:-$root/config/logging.properties}"
work=""
names=()
pids=()

# Builds all modules if the jar of the benchmarks is missing or older than any main source file.
build_if_needed() {
  local jar="$root/benchmarks/target/clementinepost-benchmarks-$version.jar"
  if [ -f "$jar" ] && [ -z "$(find "$root" -path '*/src/main/*' -newer "$jar" -print -quit)" ]; then
    return
  fi
  (cd "$root" && mvn -B -ntp -q package -DskipTests) >&2
}

# class_path MODULE: prints the class path of a module with its dependencies.
class_path() {
  echo "$root/$1/target/clementinepost-$1-$version.jar:$root/$1/target/lib/*"
}

# start NAME HEAP MODULE MAIN-CLASS ARGUMENTS...: starts a process and waits up to 30 s
# until it prints the line "listening".
start() {
  local name="$1" heap="$2" module="$3" main="$4"
  shift 4
  : >"$work/$name.out"
  java "-Xmx$heap" "-Djava.util.logging.config.file=$logging" -cp "$(class_path "$module")" \
    "$main" "$@" >"$work/$name.out" 2>"$work/$name.log" &
  names+=("$name")
  pids+=("$!")
  local tries
  for ((tries = 0; tries < 300; tries++)); do
    if grep -q '^listening ' "$work/$name.out"; then
      return 0
    fi
    if ! kill -0 "$!" 2>/dev/null; then
      break
    fi
    sleep 0.1
  done
  echo "$name did not start:" >&2
  tail -n 20 "$work/$name.log" >&2
  return 1
}

# field NAME KEY: prints the value of a key in the line "listening" of a process.
field() {
  sed -n "s/^listening .*\"$2\":\"\{0,1\}\([^,\"}]*\).*/\1/p" "$work/$1.out"
}

# Prints the names and ids of all started processes as JSON: {"name":pid,...}.
pids_json() {
  local json="" i
  for i in "${!names[@]}"; do
    json="$json${json:+,}\"${names[$i]}\":${pids[$i]}"
  done
  echo "{$json}"
}

# Stops all started processes in reverse order, waits until they have ended and deletes the work folder.
stop_all() {
  trap - EXIT INT TERM
  local i
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
    kill "${pids[$i]}" 2>/dev/null || true
  done
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
    wait "${pids[$i]}" 2>/dev/null || true
  done
  if [ -n "$work" ]; then
    rm -rf "$work"
  fi
}

# Creates the work folder for settings and logs; on exit, all processes are stopped and it is deleted.
prepare() {
  work="$(mktemp -d)"
  trap stop_all EXIT
  trap 'exit 130' INT
  trap 'exit 143' TERM
}

# node_settings NAME DOMAIN TABLE-URL OBJECTS-URL: writes a settings file in which
# every port is 0, so that the node picks free ports.
node_settings() {
  cat >"$work/$1.json" <<JSON
{"nodeId": "$1", "failureDomain": "$2",
 "ingress": "127.0.0.1:0", "peer": "127.0.0.1:0",
 "announce": "127.0.0.1:0", "operator": "127.0.0.1:0",
 "platform": {"tableUrl": "$3", "objectsUrl": "$4"}}
JSON
}

# await_answer PORT PATH KEY: waits until a request to a node gets a response of status 200; each of the
# 300 tries waits at most 5 s for the response and is followed by a pause of 0.1 s.
await_answer() {
  local tries status
  for ((tries = 0; tries < 300; tries++)); do
    status="$(ask "$1" "$2" "$3" 2>/dev/null || true)"
    if [ "$status" = 200 ]; then
      return 0
    fi
    sleep 0.1
  done
  echo "no response of status 200 from port $1, last status: $status" >&2
  return 1
}

# ask PORT PATH KEY: sends one request and prints the status of the response; uses only the shell, so that
# no HTTP client has to be installed.
ask() {
  local status
  exec 3<>"/dev/tcp/127.0.0.1/$1"
  printf 'GET %s HTTP/1.1\r\nHost: localhost\r\nAuthorization: Bearer %s\r\nConnection: close\r\n\r\n' \
    "$2" "$3" >&3
  read -r -t 5 _ status _ <&3
  exec 3>&-
  echo "$status"
}
