# Shared by the scripts of this folder: building, and starting and stopping processes.
root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
version="0.1.0-SNAPSHOT"
logging="${CLEMENTINEPOST_LOGGING:-$root/config/logging.properties}"
work=""
names=()
pids=()

# Builds the workspace when its jars are missing or older than its sources.
build_if_needed() {
  local jar="$root/benchmarks/target/clementinepost-benchmarks-$version.jar"
  if [ -f "$jar" ] && [ -z "$(find "$root" -path '*/src/main/*' -newer "$jar" -print -quit)" ]; then
    return
  fi
  (cd "$root" && mvn -B -ntp -q package -DskipTests) >&2
}

# Prints the class path of a module with everything that it needs.
class_path() {
  echo "$root/$1/target/clementinepost-$1-$version.jar:$root/$1/target/lib/*"
}

# start NAME HEAP MODULE MAIN-CLASS ARGUMENTS...: starts a process and waits for its line "listening".
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

# field NAME KEY: prints a value of the line "listening" of a process.
field() {
  sed -n "s/^listening .*\"$2\":\"\{0,1\}\([^,\"}]*\).*/\1/p" "$work/$1.out"
}

# Prints {"name":pid,...} of all processes.
pids_json() {
  local json="" i
  for i in "${!names[@]}"; do
    json="$json${json:+,}\"${names[$i]}\":${pids[$i]}"
  done
  echo "{$json}"
}

# Stops every process, the last started first, and waits until they are gone.
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

# Makes the folder for settings and logs, and sees to it that nothing is left behind.
prepare() {
  work="$(mktemp -d)"
  trap stop_all EXIT
  trap 'exit 130' INT
  trap 'exit 143' TERM
}

# node_settings NAME DOMAIN TABLE-URL OBJECTS-URL: writes a settings file with free ports.
node_settings() {
  cat >"$work/$1.json" <<JSON
{"nodeId": "$1", "failureDomain": "$2",
 "ingress": "127.0.0.1:0", "peer": "127.0.0.1:0",
 "announce": "127.0.0.1:0", "operator": "127.0.0.1:0",
 "platform": {"tableUrl": "$3", "objectsUrl": "$4"}}
JSON
}
