# Sourced by the scripts of the cases: runs the driver class $1 for the case in the folder $2, with
# the disruption unless $3 is 0.
# Exit code 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -uo pipefail
case_dir=$(cd "$2" && pwd)
root=$(cd "$case_dir/../.." && pwd)
cd "$root" || exit 2
source config/jdk.sh || exit 2
if [ ! -f target/sycamoretrack-platform.jar ] || [ ! -f "target/review-2/$1.class" ]; then
  echo "run the build of deploy/system.toml and review/build-2.sh first" >&2
  exit 2
fi
timeout -k 5 115 "$JAVA_HOME/bin/java" -Dsun.net.httpserver.nodelay=true \
  -Dsun.net.httpserver.maxIdleConnections=1000 -cp target/review-2 "$1" "$root" "$case_dir" "$3"
status=$?
case $status in
  0 | 1) exit $status ;;
  *) exit 2 ;;
esac
