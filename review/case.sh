# Sourced by the run.sh of each case. case_run CLASS FOLDER TROUBLE runs a driver in the repository,
# for 110 seconds at most, with the disruption if TROUBLE is 1, and exits with its code: 1 the rule
# was broken, 0 it held, 2 it could not run.
case_run() {
  local folder code
  folder=$(cd "$2" && pwd) || exit 2
  cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
  source config/jdk.sh || exit 2
  if [ ! -d target/review ] || [ ! -x target/runtime/bin/java ]; then
    echo "build first: deploy/build, then review/build.sh" >&2
    exit 2
  fi
  code=0
  timeout -k 5 110 "$JAVA_HOME/bin/java" -Xmx512m -cp target/review "$1" "$folder" "$3" || code=$?
  [ "$code" -le 2 ] || code=2
  exit "$code"
}
