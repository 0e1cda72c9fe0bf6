#!/usr/bin/env bash
# Builds, tests, runs and measures jujuberelay. Usage: Meta/jujuberelay.sh <command> [arguments]
set -euo pipefail

top=$(cd "$(dirname "$0")/.." && pwd)
build=${JUJUBERELAY_BUILD:-$top/Build/release}
cd "$top"

# Makes ccache entries independent of the checkout path, so that all checkouts share them.
export CCACHE_BASEDIR="$top" CCACHE_NOHASHDIR=1

packages="clang lld clang-format clang-tidy cmake ninja-build ccache curl jq python3 procps iproute2
 libboost1.81-dev libwebsocketpp-dev libgflags-dev liblog4cplus-dev libyaml-cpp-dev libssl-dev
 nlohmann-json3-dev libcriterion-dev libxxhash-dev libclang-rt-14-dev python3-aiohttp"

install_packages() {
    local missing=()
    for package in $packages; do
        dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
    done
    [ ${#missing[@]} -eq 0 ] && return
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
}

configure_and_build() {
    cmake -S . -B "$build" -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DCMAKE_BUILD_TYPE=RelWithDebInfo \
        -DCMAKE_EXE_LINKER_FLAGS=-fuse-ld=lld "$@" >/dev/null
    cmake --build "$build"
}

source_files() {
    git ls-files --cached --others --exclude-standard '*.cpp' '*.h' | while read -r file; do
        [ -e "$file" ] && echo "$file"
    done
    return 0
}

check_format() {
    source_files | xargs -r clang-format --dry-run --Werror
}

# Lints the translation units that changed since their last clean run. A change of any header or of .clang-tidy lints all.
run_linter() {
    local stamp_directory="$build/lint"
    mkdir -p "$stamp_directory"
    local headers
    headers=$( (cat .clang-tidy; source_files | grep '\.h$' | xargs -r cat) | sha256sum | cut -c1-16)
    source_files | grep '\.cpp$' | grep -v '^Tests/' | while read -r file; do
        local stamp
        stamp="$stamp_directory/$( (echo "$file $headers"; cat "$file") | sha256sum | cut -c1-32)"
        [ -e "$stamp" ] || echo "$file $stamp"
    done | xargs -r -P "${JUJUBERELAY_JOBS:-8}" -L 1 bash -c \
        'clang-tidy --quiet -p "$0" "$1" 2>/dev/null && touch "$2"' "$build"
}

# The known failures among the tests of this script: lines "  ci: <test program> <suite>/<test>" in KNOWN-RED.txt.
known_red_tests() {
    sed -n 's/^  ci: //p' KNOWN-RED.txt
}

# Runs a test program of the folder $1. The failures of its known failures are printed and passed over; any other fails the script.
run_test_program() {
    local red pattern test
    red=$(known_red_tests | sed -n "s/^$2 //p")
    if [ -z "$red" ]; then
        "$1/$2" --jobs 4 --timeout 120
        return
    fi
    pattern=$(paste -sd'|' <<<"$red")
    "$1/$2" --jobs 4 --timeout 120 --filter "!($pattern)"
    while read -r test; do
        "$1/$2" --timeout 120 --filter "$test" || echo "known failure: $2 $test, see KNOWN-RED.txt"
    done <<<"$red"
}

# Tests of the packages that parse untrusted input, including their generated input.
sanitized_tests="TestLibHTTP TestLibPlatform TestLibRelay TestPlatformAdapter"

# Runs sanitized_tests under AddressSanitizer and UndefinedBehaviorSanitizer.
run_sanitized_tests() {
    local folder="$build-sanitized"
    cmake -S . -B "$folder" -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DCMAKE_BUILD_TYPE=Debug -DCMAKE_EXE_LINKER_FLAGS=-fuse-ld=lld \
        -DCMAKE_CXX_FLAGS="-O1 -g1 -fsanitize=address,undefined -fno-sanitize=function -fno-sanitize-recover=undefined" >/dev/null
    # shellcheck disable=SC2086
    cmake --build "$folder" --target $sanitized_tests
    local test
    for test in $sanitized_tests; do
        run_test_program "$folder/bin" "$test"
    done
}

# Prints the known failures.
print_known_failures() {
    [ -s KNOWN-RED.txt ] || return 0
    echo "known failures, listed in KNOWN-RED.txt:"
    sed 's/^/  /' KNOWN-RED.txt
}

run_tests() {
    local programs program
    programs=$(known_red_tests | cut -d' ' -f1 | sort -u)
    ctest --test-dir "$build" --output-on-failure -j 4 ${programs:+-E "^($(paste -sd'|' <<<"$programs"))\$"}
    for program in $programs; do
        run_test_program "$build/bin" "$program"
    done
}

case "${1:-help}" in
format)
    source_files | xargs -r clang-format -i
    ;;
lint)
    install_packages
    configure_and_build
    run_linter
    ;;
build)
    install_packages
    configure_and_build
    ;;
test)
    install_packages
    check_format
    configure_and_build
    run_linter
    run_tests
    run_sanitized_tests
    if [ -e Tests/Sessions/run.sh ]; then Tests/Sessions/run.sh "$build/bin"; fi
    Tests/Soak/run.sh "$build/bin/jujuberelayd" ci
    print_known_failures
    ;;
demo | run)
    install_packages
    configure_and_build
    exec python3 Meta/demo.py "$1" "$build/bin"
    ;;
soak)
    shift
    install_packages
    configure_and_build
    exec Tests/Soak/run.sh "$build/bin/jujuberelayd" "$@"
    ;;
measure)
    shift
    install_packages
    configure_and_build
    # Measurements that start several processes are Python scripts.
    if [ -e "Meta/measure_${1:-}.py" ]; then exec python3 "Meta/measure_$1.py" "$build/bin" "${@:2}"; fi
    exec "$build/bin/jujuberelay" measure "$@"
    ;;
*)
    echo "usage: Meta/jujuberelay.sh demo | run | test | build | lint | format | soak <first seed> <count> [seconds] | measure <what>"
    ;;
esac
