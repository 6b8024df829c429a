# Sourced by the scripts: sets JAVA_HOME to a JDK of version 21 or newer, or fails with an error message.
jdk_major() {
  "$1/bin/java" -version 2>&1 | sed -n 's/.* version "\([0-9]*\).*/\1/p' | head -n 1
}
find_jdk() {
  local home major
  for home in "${JAVA_HOME:-}" /usr/lib/jvm/* /Library/Java/JavaVirtualMachines/*/Contents/Home; do
    [ -n "$home" ] && [ -x "$home/bin/javac" ] || continue
    major=$(jdk_major "$home")
    if [ -n "$major" ] && [ "$major" -ge 21 ]; then
      export JAVA_HOME="$home"
      return 0
    fi
  done
  echo "error jdk-missing: a JDK of 21 or newer is needed; set JAVA_HOME or install one" >&2
  return 1
}
find_mvn() {
  command -v mvn > /dev/null && return 0
  echo "error maven-missing: Apache Maven 3.8 or newer is needed on the PATH" >&2
  return 1
}
find_jdk || exit 1
