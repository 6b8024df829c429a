import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A node of the project as a process, with the command and the settings of the deploy file. */
final class Node {
  private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([a-z_.0-9]+)(\\|json)?}}");

  /** Callers, readiness, metrics (named in the template) and peers. */
  private static final List<Integer> PORTS = List.of(8161, 8167, 9464, 7720);

  final String id;
  final String ip;
  final InetSocketAddress front;
  final InetSocketAddress ready;
  private final Path settings;
  private final Path log;
  private final Record record;
  private Process process;

  /** Creates a node on a loopback address of its own; all its ports are free there. */
  Node(String id, String zone, Store store, Path directory, Record record) throws IOException {
    this.id = id;
    this.record = record;
    ip = freeIp();
    front = new InetSocketAddress(ip, 8161);
    ready = new InetSocketAddress(ip, 8167);
    settings = directory.resolve(id + ".json");
    log = directory.resolve(id + ".log");
    Map<String, Object> values =
        Map.of(
            "node", id,
            "zone", zone,
            "ip", ip,
            "listen.front", ip + ":8161",
            "listen.ready_addr", ip + ":8167",
            "port_range.0", 7720L,
            "provider.address", "127.0.0.1:" + store.address().getPort(),
            "bounds.grace_s", 8L,
            "bounds.cancel_ms", 3000L,
            "bounds.status_s", 120L);
    Matcher matcher = PLACEHOLDER.matcher(Files.readString(Path.of("deploy/node.json.template")));
    Files.writeString(
        settings,
        matcher.replaceAll(
            found -> {
              Object value = values.get(found.group(1));
              return found.group(2) == null ? String.valueOf(value) : Json.write(value);
            }));
  }

  /** Returns a loopback address at which all ports of a node are free. */
  private static String freeIp() throws IOException {
    ThreadLocalRandom random = ThreadLocalRandom.current();
    for (int attempt = 0; attempt < 50; attempt++) {
      String ip =
          "127." + random.nextInt(20, 250) + "." + random.nextInt(1, 250) + "." + random.nextInt(2, 250);
      if (PORTS.stream().allMatch(port -> isFree(ip, port))) {
        return ip;
      }
    }
    throw new IOException("no loopback address has the ports " + PORTS + " free");
  }

  private static boolean isFree(String ip, int port) {
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(new InetSocketAddress(ip, port));
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  private static List<String> command(Path settings) throws IOException {
    for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
      if (line.startsWith("run = ")) {
        String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        List<String> words = new ArrayList<>(List.of(run.split(" ")));
        words.replaceAll(
            word -> word.equals("/etc/sycamoretrack/node.toml") ? settings.toString() : word);
        return words;
      }
    }
    throw new IOException("deploy/system.toml has no run line");
  }

  void start() throws IOException {
    process =
        new ProcessBuilder(command(settings))
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
            .start();
    record.line("node %s: started, pid %d", id, process.pid());
  }

  long pid() {
    return process.pid();
  }

  boolean isAlive() {
    return process.isAlive();
  }

  String log() throws IOException {
    return Files.readString(log, StandardCharsets.UTF_8);
  }

  void signal(String name) throws Exception {
    record.line("node %s: SIG%s", id, name);
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }

  /** Kills the process and starts it again after the given time. */
  void killAndRestart(long delayMs) throws Exception {
    signal("KILL");
    process.waitFor();
    Thread.sleep(delayMs);
    start();
  }

  boolean isReady() {
    try {
      return Http.call(ready, "GET", "/-/ready", Map.of("Host", ip), new byte[0], 1_000).status()
          == 200;
    } catch (IOException e) {
      return false;
    }
  }

  void awaitReady() throws Exception {
    for (int i = 0; i < 300; i++) {
      if (isReady()) {
        record.line("node %s: ready", id);
        return;
      }
      Thread.sleep(50);
    }
    throw new IllegalStateException("node " + id + " was not ready within 15 s: " + log());
  }

  void stop() {
    if (process != null && process.isAlive()) {
      process.destroyForcibly();
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
