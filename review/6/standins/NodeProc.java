import java.io.File;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** A node of the project, started with the command of the deploy file. */
final class NodeProc implements AutoCloseable {
  private static final String PLACEHOLDER = "/etc/sycamoretrack/node.toml";
  private static final int FIRST_PORT = 15_000;
  private static final int LAST_PORT = 32_000;
  private static int nextPort = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);

  private final String id;
  private final Path root;
  private final Path settings;
  private final File log;
  private final int callerPort;
  private final int readyPort;
  private Process process;

  /** Writes the settings of a node with the fields of deploy/node.json.template. */
  NodeProc(Path root, Path directory, String id, String zone, String store) throws IOException {
    this.id = id;
    this.root = root;
    this.settings = directory.resolve(id + ".json");
    this.log = directory.resolve(id + ".log").toFile();
    List<Integer> ports = freePorts(4);
    this.callerPort = ports.get(0);
    this.readyPort = ports.get(1);
    Files.writeString(
        settings,
        Json.write(
            Map.of(
                "nodeId", id,
                "zone", zone,
                "callerAddress", "127.0.0.1:" + callerPort,
                "readyAddress", "127.0.0.1:" + readyPort,
                "metricsAddress", "127.0.0.1:" + ports.get(2),
                "peerAddress", "127.0.0.1:" + ports.get(3),
                "storeAddress", store,
                "graceSeconds", 8,
                "cancelMs", 3_000,
                "drainMs", 2_000)
            ).replaceFirst("\\}$", ",\"resultsPromisedSeconds\":120}"));
  }

  /** Returns free ports below the range of ports that outgoing connections get. */
  private static synchronized List<Integer> freePorts(int count) throws IOException {
    List<Integer> ports = new ArrayList<>();
    while (ports.size() < count) {
      nextPort = nextPort >= LAST_PORT ? FIRST_PORT : nextPort + 1;
      try (ServerSocket socket = new ServerSocket()) {
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), nextPort));
        ports.add(nextPort);
      } catch (BindException e) {
        // The port is in use: the next one is tried.
      }
    }
    return ports;
  }

  String id() {
    return id;
  }

  int callerPort() {
    return callerPort;
  }

  void start() throws IOException {
    String run =
        Files.readAllLines(root.resolve("deploy/system.toml")).stream()
            .filter(line -> line.startsWith("run = "))
            .findFirst()
            .orElseThrow();
    String command = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'));
    List<String> words = new ArrayList<>();
    for (String word : command.split(" ")) {
      words.add(word.equals(PLACEHOLDER) ? settings.toString() : word);
    }
    process =
        new ProcessBuilder(words)
            .directory(root.toFile())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
            .start();
  }

  boolean isAlive() {
    return process != null && process.isAlive();
  }

  boolean isReady() {
    try {
      return Calls.call(readyPort, "GET", "/-/ready", Map.of(), new byte[0], 1_000).status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  /** Sends a signal such as STOP, CONT, TERM or KILL to the process. */
  void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }

  @Override
  public void close() throws InterruptedException {
    if (process != null) {
      process.destroyForcibly();
      process.waitFor(5, TimeUnit.SECONDS);
    }
  }
}
