# Functions for the scripts of cases 6 and 7: a state group of the users' platform on loopback addresses.
#
# A machine N of the core has the address $network.N and the folder $work/coreN. The settings are those that the deploy file's
# template gives, with the values of the site mizutama-hokkaido.

programs=target/bin
call=target/review-2/fescuegw-review-call
link_port=7720
control_port=8166
metrics_port=9464
call_timeout_ms=1000
seed_machines=(1 2 3)
declare -A process=()

# Chooses a network of its own and a temporary folder, and ends all processes at the exit of the script.
prepare() {
  record=$(cd "$(dirname "$0")" && pwd)/record.txt
  cd "$(dirname "$0")/../.."
  : > "$record"
  [ -x "$programs/fescuegw-platform" ] && [ -x "$call" ] || { note "programs are not built"; exit 2; }
  network="127.$((RANDOM % 200 + 20)).$((RANDOM % 250))"
  work=$(mktemp -d)
  trap end_all EXIT
  started_at=$(date +%s%N)
}

note() {
  echo "$(seconds) $*" | tee -a "$record"
}

seconds() {
  local now
  now=$(date +%s%N)
  printf '%7.3f' "$(((now - ${started_at:-now}) / 1000000))e-3"
}

# finish STATUS: 0 if the rule held, 1 if it was broken. A script that ends in another way could not run.
verdict=2
finish() {
  verdict=$1
  exit "$verdict"
}

end_all() {
  local it
  for it in "${!process[@]}"; do
    kill -KILL "${process[$it]}" 2> /dev/null || true
    wait "${process[$it]}" 2> /dev/null || true
  done
  # Callers that were started in the background end with their connections.
  wait 2> /dev/null || true
  rm -rf "$work"
  exit "$verdict"
}

address_of() {
  echo "$network.$1:$control_port"
}

# write_settings N FIRST_START
write_settings() {
  local seeds="" it
  for it in "${seed_machines[@]}"; do
    seeds+="${seeds:+,}$(address_of "$it")"
  done
  cat > "$work/core$1.ini" <<END
[process]
name = core$1
domain = zone$1
http = $network.$1:$metrics_port
keys = none

[replica]
listen = $network.$1:$link_port
data = $work/core$1
election-timeout-ms = 250

[formation]
seeds = $seeds
seed-port = $link_port
first-start = $2
tolerated-losses = 2

[platform]
listen = $network.$1:$control_port
END
}

# start_core N [FIRST_START]: starts the state process of a machine; its folder is the machine's disk.
start_core() {
  write_settings "$1" "${2:-no}"
  mkdir -p "$work/core$1"
  FESCUEGW_BOOT="$work/core$1.ini" "$programs/fescuegw-platform" state >> "$work/core$1.out" 2>&1 &
  process[$1]=$!
}

# lose_disk N: the machine loses power and its disk.
lose_disk() {
  kill -KILL "${process[$1]}"
  wait "${process[$1]}" 2> /dev/null || true
  unset "process[$1]"
  rm -rf "$work/core$1"
}

# remove_core N: SIGTERM; the machine does not come back.
remove_core() {
  kill -TERM "${process[$1]}"
  wait "${process[$1]}" 2> /dev/null || true
  unset "process[$1]"
}

write_configuration() {
  cat > "$work/configuration.$1" <<END
{"version":$1,"routes":[{"name":"r-1","host":"one.example","pathPrefix":"/one/","kind":"unsafe","timeoutMs":1500,"targetLatencyMs":60,"priority":0,"service":"pondkeep","maxAttempts":2,"stretch":1.6}],"services":[{"name":"pondkeep","healthCheckPath":"/health","maxConnections":64,"protocol":"h1","tls":false,"rejectsOverload":false,"standby":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}
END
}

# change VERSION SECONDS MACHINE...: sends a configuration, at one machine after the other, until it is acknowledged.
change() {
  local version=$1 until=$((SECONDS + $2)) it answer
  shift 2
  write_configuration "$version"
  while [ $SECONDS -lt $until ]; do
    for it in "$@"; do
      answer=$("$call" PUT "$(address_of "$it")" /v1/configuration $call_timeout_ms "$work/configuration.$version" | head -1)
      [ "$answer" = 200 ] || note "version $version sent to core$it: $answer"
      if [ "$answer" = 200 ]; then
        note "version $version acknowledged at core$it"
        return 0
      fi
      sleep 0.1
    done
  done
  note "version $version not acknowledged"
  return 1
}

# read_back VERSION SECONDS MACHINE...: reads the configuration, at one machine after the other, until one gives this version.
read_back() {
  local version=$1 until=$((SECONDS + $2)) it answer last="" status
  shift 2
  while [ $SECONDS -lt $until ]; do
    for it in "$@"; do
      answer=$("$call" GET "$(address_of "$it")" /v1/configuration $call_timeout_ms) || true
      status=$(head -1 <<< "$answer")
      if [ "$status" = 200 ] && grep -q "\"version\":$version," <<< "$answer"; then
        note "version $version read at core$it"
        return 0
      fi
      [ "$status" = "$last" ] || note "read at core$it: $status"
      last=$status
      sleep 0.1
    done
  done
  note "version $version not read within the time"
  return 1
}

# Entry N has the address $network.(20+N), side N $network.(60+N) with its worker.
caller_port=8161
readiness_port=8167
worker_port=8080
service=pondkeep

entry_address() {
  echo "$network.$((20 + $1)):$caller_port"
}

side_address() {
  echo "$network.$((60 + $1)):$control_port"
}

formation_section() {
  local seeds="" it
  for it in "${seed_machines[@]}"; do
    seeds+="${seeds:+,}$(address_of "$it")"
  done
  printf '[formation]\nseeds = %s\nseed-port = %s\n' "$seeds" "$link_port"
}

# start_entry N
start_entry() {
  local ip=$network.$((20 + $1))
  cat > "$work/entry$1.ini" <<END
[process]
name = entry$1
domain = zone1
http = $ip:$metrics_port
keys = none

[entry]
listen = $ip:$link_port

$(formation_section)

[platform]
listen = $ip:$caller_port
readiness = $ip:$readiness_port
END
  FESCUEGW_BOOT="$work/entry$1.ini" "$programs/fescuegw-platform" entry >> "$work/entry$1.out" 2>&1 &
  process[entry$1]=$!
}

# start_agent N
start_agent() {
  local ip=$network.$((60 + $1))
  cat > "$work/agent$1.ini" <<END
[process]
name = agent$1
domain = zone1
http = $ip:$metrics_port
keys = none

[agent]
max-lease-ms = 1000

$(formation_section)

[platform]
listen = $ip:$control_port
upstream = $ip:$worker_port
END
  FESCUEGW_BOOT="$work/agent$1.ini" "$programs/fescuegw-platform" agent >> "$work/agent$1.out" 2>&1 &
  process[agent$1]=$!
}

# start_worker N: its starts and ends go to the record.
start_worker() {
  local ip=$network.$((60 + $1))
  target/review-2/fescuegw-review-worker "worker$1" "$service" "$ip:$worker_port" "$ip:$control_port" >> "$record" &
  process[worker$1]=$!
}

# write_job FILE WORK_MS TASKS [STEPS]: a best-effort job; its steps follow one another.
write_job() {
  local steps="" it
  for ((it = 0; it < ${4:-1}; ++it)); do
    steps+="${steps:+,}{\"count\":$3,\"cpu\":6200,\"memoryRequestMb\":64,\"estimatedRuntimeMs\":$2"
    [ "$it" = 0 ] || steps+=",\"after\":[$((it - 1))]"
    steps+="}"
  done
  echo "{\"specification\":\"work=$2\",\"bestEffort\":true,\"steps\":[$steps]}" > "$1"
}

new_job_id() {
  printf '%04x%04x%04x%04x' $RANDOM $RANDOM $RANDOM $RANDOM
}

# submit ENTRY ID FILE PATIENCE_MS: prints the status and the body of the answer.
submit() {
  echo "$(seconds) job $2 sent to entry$1: $(cat "$3")" >> "$record"
  "$call" POST "$(entry_address "$1")" "/one/$2" "$4" "$3" "Host: one.example" "X-Remaining-Milliseconds: $4"
}

# await_service TASKS SECONDS ENTRY...: until each entry completes a job of so many tasks.
await_service() {
  local tasks=$1 until=$((SECONDS + $2)) it answer
  shift 2
  write_job "$work/probe" 20 "$tasks"
  for it in "$@"; do
    until answer=$(submit "$it" "$(new_job_id)" "$work/probe" 1500) && grep -q completed <<< "$answer"; do
      [ $SECONDS -lt $until ] || { note "entry$it does not serve: $answer"; return 1; }
      sleep 0.2
    done
  done
}

# Prints each task that two workers have run at the same time.
find_overlaps() {
  grep -E '^[0-9]{13} worker' "$record" | sort -n | awk '
    $3 == "start" {
      for (it in since)
        if (index(it, $4 " ") == 1)
          print "task " $4 ": runs on " $2 " from " $1 " on, " since[it]
      since[$4 " " $2] = "and on " $2 " since " $1
    }
    $3 ~ /^(done|lapsed|stopped)$/ { delete since[$4 " " $2] }
  '
}
