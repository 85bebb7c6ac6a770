# Functions to run a small cell on loopback; sourced by scripts/demo and scripts/measure-control.
# All processes are ended by id when the script ends.

cell_folder=$(mktemp -d)
cell_pids=()
cell_control_pids=()
cell_bin=build/bin
cell_token=$(od -An -N16 -tx1 /dev/urandom | tr -d ' \n')
cell_zone=svealand

# cell_stop <pid>...: asks the processes to stop and waits; after 10 s they are killed.
cell_stop() {
    local pid
    for pid in "$@"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "$@"; do
        for _ in $(seq 100); do kill -0 "$pid" 2>/dev/null || break; sleep 0.1; done
        kill -KILL "$pid" 2>/dev/null || true
        wait "$pid" 2>/dev/null || true
    done
}

# Stops the control instances last, so that workers can tell their leader that they leave.
cell_cleanup() {
    local pid others=()
    for pid in "${cell_pids[@]}"; do
        if [[ " ${cell_control_pids[*]} " != *" $pid "* ]]; then others+=("$pid"); fi
    done
    cell_stop "${others[@]}"
    cell_stop "${cell_control_pids[@]}"
    rm -rf "$cell_folder"
}
trap cell_cleanup EXIT

# Picks <count> ports that nobody listens on, below the range that the system gives to clients.
cell_find_ports() {
    local count=$1 port
    cell_ports=()
    while [ "${#cell_ports[@]}" -lt "$count" ]; do
        port=$((20000 + (RANDOM * 32768 + RANDOM) % 12000))
        if ! (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null && [[ ! " ${cell_ports[*]} " == *" $port "* ]]; then
            cell_ports+=("$port")
        fi
    done
}

# cell_start_process <name> <program> <arguments>; the output goes to <folder>/<name>.log, the id to cell_pid.
cell_start_process() {
    local name=$1
    shift
    "$@" >>"$cell_folder/$name.log" 2>&1 &
    cell_pid=$!
    cell_pids+=("$cell_pid")
}

# cell_start_control <count>: control instances that all vote in the cell group and in the group of one zone.
cell_start_control() {
    local count=$1 i j group voters=""
    cell_find_ports $((count * 3))
    cell_control_ports=("${cell_ports[@]}")
    cell_control_pids=()
    cell_worker_ports=""
    echo "$cell_token" >"$cell_folder/token"
    for ((i = 0; i < count; ++i)); do
        voters+="${voters:+, }\"control-$((i + 1))\""
        cell_worker_ports+="${cell_worker_ports:+,}127.0.0.1:${cell_control_ports[i * 3 + 2]}"
    done
    for ((i = 0; i < count; ++i)); do
        {
            printf 'instance = "control-%d"\nzone = "%s"\n' $((i + 1)) "$cell_zone"
            printf 'data_folder = "%s/data-%d"\noperator_token_file = "%s/token"\n' "$cell_folder" $((i + 1)) "$cell_folder"
            printf '[listen]\ninternal = "127.0.0.1:%d"\noperator = "127.0.0.1:%d"\nworker = "127.0.0.1:%d"\n' \
                "${cell_control_ports[@]:i * 3:3}"
            for ((j = 0; j < count; ++j)); do
                printf '[[instance_address]]\nid = "control-%d"\nzone = "%s"\n' $((j + 1)) "$cell_zone"
                printf 'internal = "127.0.0.1:%d"\noperator = "127.0.0.1:%d"\nworker = "127.0.0.1:%d"\n' \
                    "${cell_control_ports[@]:j * 3:3}"
            done
            for group in cell "zone:$cell_zone"; do
                printf '[[group]]\nname = "%s"\nvoters = [%s]\nlearners = []\n' "$group" "$voters"
            done
        } >"$cell_folder/control-$((i + 1)).toml"
        cell_start_process "control-$((i + 1))" "$cell_bin/pistachio-control" \
            "--settings=$cell_folder/control-$((i + 1)).toml" --bootstrap
        cell_control_pids+=("$cell_pid")
    done
    cell_operator="127.0.0.1:${cell_control_ports[1]}"
    cell_wait_for "a leader" cell_is_ready
}

cell_is_ready() { cell_http GET /readyz >/dev/null; }

# cell_wait_for <what> <command>: repeats the command until it succeeds, for at most 30 s.
cell_wait_for() {
    local what=$1
    shift
    for _ in $(seq 300); do
        if "$@" 2>/dev/null; then return 0; fi
        sleep 0.1
    done
    echo "gave up waiting for $what; the logs end with:" >&2
    tail -n 3 "$cell_folder"/*.log >&2
    return 1
}

# cell_http <method> <path> [body] [header...]: prints the body; fails unless the status is 200.
cell_http() {
    local method=$1 path=$2 body=${3:-} status line
    shift $(($# < 3 ? $# : 3))
    exec 3<>"/dev/tcp/${cell_operator/:/\/}" || return 1
    {
        printf '%s %s HTTP/1.1\r\nHost: cell\r\nConnection: close\r\n' "$method" "$path"
        printf 'Authorization: Bearer %s\r\nContent-Length: %d\r\n' "$cell_token" "${#body}"
        if [ $# -gt 0 ]; then printf '%s\r\n' "$@"; fi
        printf '\r\n%s' "$body"
    } >&3
    read -r -t 10 _ status _ <&3 || status=0
    while read -r -t 10 line <&3 && [ "$line" != $'\r' ]; do :; done
    cat <&3
    exec 3>&-
    [ "$status" = 200 ]
}

# cell_configure: one zone and a team "print" with a large quota.
cell_configure() {
    cell_http PUT /v1/configuration \
        "{\"zones\": [\"$cell_zone\"], \"packing_weight_percent\": 50, \"quotas\":
          [{\"team\": \"print\", \"cores\": 100000, \"memory_mb\": 100000000, \"accelerators\": 1000}]}" \
        "Request-Id: configuration-1" "Author: $0" "Expect-Version: 0"
}

# cell_start_entry: one entry that asks all control instances; its callers' port is in cell_callers.
cell_start_entry() {
    local i
    cell_find_ports 3
    {
        printf 'instance = "entry-1"\nzone = "%s"\n[listen]\n' "$cell_zone"
        printf 'callers = "127.0.0.1:%d"\nminions = "127.0.0.1:%d"\ninternal = "127.0.0.1:%d"\n' "${cell_ports[@]}"
        for ((i = 0; i < ${#cell_control_pids[@]}; ++i)); do
            printf '[[control]]\nid = "control-%d"\nzone = "%s"\ninternal = "127.0.0.1:%d"\n' \
                $((i + 1)) "$cell_zone" "${cell_control_ports[i * 3]}"
        done
    } >"$cell_folder/entry-1.toml"
    cell_callers="127.0.0.1:${cell_ports[0]}"
    cell_minions="127.0.0.1:${cell_ports[1]}"
    cell_start_process entry-1 "$cell_bin/pistachio-entry" "--settings=$cell_folder/entry-1.toml"
}
