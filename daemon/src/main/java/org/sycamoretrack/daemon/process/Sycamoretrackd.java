package org.sycamoretrack.daemon.process;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.transport.process.Json;

/**
 * The daemon's command line.
 *
 * <p>Exit codes: 0 after a graceful stop or a successful {@code --check}, 1 if the node fails to
 * start, 2 if the command line or the settings are invalid.
 */
public final class Sycamoretrackd {
  private static final int EXIT_FAILED = 1;
  private static final int EXIT_USAGE = 2;

  /** How long the process waits at exit for its last log lines to be written. */
  private static final long LOG_DRAIN_MS = 200;

  private static final System.Logger LOG = System.getLogger(Sycamoretrackd.class.getName());

  @Parameter(names = "--settings", description = "JSON file with the node's settings")
  private String settingsFile;

  @Parameter(
      names = "--ready-file",
      description = "File to which the ready line is written once the node is ready")
  private String readyFile;

  @Parameter(names = "--check", description = "Check a settings file and exit")
  private String checkFile;

  @Parameter(names = "--print-defaults", description = "Print the default limits and exit")
  private boolean printDefaults;

  @Parameter(names = "--help", help = true, description = "Show this help")
  private boolean help;

  private Sycamoretrackd() {}

  /**
   * Runs the daemon until it is stopped.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    int exitCode = new Sycamoretrackd().run(args, System.out);
    if (exitCode != 0) {
      System.exit(exitCode);
    }
  }

  private int run(String[] args, PrintStream out) {
    JCommander commander =
        JCommander.newBuilder().programName("sycamoretrackd").addObject(this).build();
    try {
      commander.parse(args);
      return dispatch(commander, out);
    } catch (ParameterException e) {
      System.err.println("error invalid-request: " + e.getMessage() + "; see --help");
    } catch (SycamoreException e) {
      System.err.println("error " + e.code().wireName() + ": " + e.getMessage());
    }
    return EXIT_USAGE;
  }

  private int dispatch(JCommander commander, PrintStream out) {
    if (help) {
      commander.usage();
      return 0;
    }
    if (printDefaults) {
      out.println(Json.object().set("limits", SettingsReader.defaultLimits()).toPrettyString());
      return 0;
    }
    if (checkFile != null) {
      SettingsReader.read(Path.of(checkFile));
      out.println(checkFile + " is valid");
      return 0;
    }
    if (settingsFile == null) {
      throw new ParameterException("--settings FILE is required");
    }
    return serve(SettingsReader.read(Path.of(settingsFile)), out);
  }

  private int serve(NodeSettings settings, PrintStream out) {
    JsonLog.identify(settings.nodeId(), settings.zone());
    Node node;
    try {
      node = Node.start(settings);
    } catch (RuntimeException e) {
      LOG.log(System.Logger.Level.ERROR, "start-failed", e);
      return EXIT_FAILED;
    }
    CountDownLatch stopped = new CountDownLatch(1);
    Thread hook =
        new Thread(
            () -> {
              node.stop();
              stopped.countDown();
              JsonLog.drain(LOG_DRAIN_MS);
              Runtime.getRuntime().halt(0);
            },
            "stop");
    Runtime.getRuntime().addShutdownHook(hook);
    try {
      writeReadyLine(node, out);
    } catch (IOException e) {
      LOG.log(System.Logger.Level.ERROR, "start-failed", e);
      return EXIT_FAILED;
    }
    awaitUninterruptibly(stopped);
    return 0;
  }

  private void writeReadyLine(Node node, PrintStream out) throws IOException {
    if (!node.awaitReady()) {
      return;
    }
    ObjectNode line = node.addresses().put("event", "ready");
    out.println(line);
    out.flush();
    if (readyFile != null) {
      Files.write(Path.of(readyFile), (line + "\n").getBytes(StandardCharsets.UTF_8));
    }
  }

  private static void awaitUninterruptibly(CountDownLatch latch) {
    boolean done = false;
    while (!done) {
      try {
        latch.await();
        done = true;
      } catch (InterruptedException e) {
        LOG.log(System.Logger.Level.WARNING, "interrupted");
      }
    }
  }
}
