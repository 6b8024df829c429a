package org.sycamoretrack.standins.process;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.sycamoretrack.transport.connection.EventLoops;

/** Runs one or more {@link EngineStandin}s in a process. */
@Parameters(commandDescription = "Model engines with continuous batching")
final class EngineCommand implements StandinCommand {
  @Parameter(names = "--port", description = "First port on the loopback address, 0 for any")
  private int port;

  @Parameter(names = "--count", description = "Number of engines, on consecutive ports")
  private int count = 1;

  @Parameter(names = "--threads", description = "Number of event loops shared by the engines")
  private int threads = 1;

  @Parameter(names = "--model", description = "Name of the model in the weight store")
  private String model = "model";

  @Parameter(names = "--weight-store", description = "ADDRESS:PORT; if absent, loads fetch nothing")
  private String weightStore;

  @Parameter(names = "--initial-version", description = "Weight version served after a start")
  private int initialVersion = 1;

  @Parameter(
      names = "--ignore-fence",
      description = "Accept load commands with a stale fencing token")
  private boolean ignoreFence;

  @Parameter(names = "--token-time-us", description = "Time per token of a single stream")
  private int tokenTimeUs = 2_000;

  @Parameter(names = "--tokens-per-chunk", description = "Tokens per chunk")
  private int tokensPerChunk = 8;

  @Parameter(names = "--batch-doubling", description = "Batch size that doubles the time per token")
  private int batchDoubling = 32;

  @Parameter(names = "--max-batch", description = "Maximum number of running streams")
  private int maxBatch = 64;

  @Parameter(names = "--prefill-time-us", description = "Prefill time per token of a prompt")
  private int prefillTimeUs = 200;

  @Parameter(names = "--cache-blocks", description = "Capacity of the prefix cache in blocks")
  private int cacheBlocks = 4_096;

  @Parameter(
      names = "--median-tokens",
      description = "Median length of completions in tokens, 0 for unlimited")
  private int medianTokens = 64;

  @Parameter(names = "--report-lag-ms", description = "Delay of load reports")
  private int reportLagMs = 500;

  @Parameter(names = "--load-time-ms", description = "Time to load weights after the fetch")
  private int loadTimeMs = 300;

  @Parameter(names = "--restart-time-ms", description = "Downtime after a crash on a poison prompt")
  private int restartTimeMs = 1_000;

  @Override
  public String name() {
    return "engine";
  }

  @Override
  public int run() throws InterruptedException {
    EventLoopGroup group = EventLoops.start("engine", threads);
    EngineSettings settings = settings();
    List<Integer> ports = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      int enginePort = port == 0 ? 0 : port + i;
      ports.add(EngineStandin.start(group, enginePort, settings).address().getPort());
    }
    Standins.printJsonLine(Map.of("event", "ready", "port", ports.get(0), "ports", ports));
    Standins.awaitTermination();
    return 0;
  }

  private EngineSettings settings() {
    return EngineSettings.builder()
        .model(model)
        .weightStore(parseAddress(weightStore))
        .initialVersion(initialVersion)
        .checksFence(!ignoreFence)
        .tokens(tokenTimeUs, tokensPerChunk)
        .batch(batchDoubling, maxBatch, Integer.MAX_VALUE)
        .prefill(prefillTimeUs, cacheBlocks)
        .medianTokens(medianTokens)
        .reportLagMs(reportLagMs)
        .load(loadTimeMs, 2)
        .restartTimeMs(restartTimeMs)
        .build();
  }

  private static InetSocketAddress parseAddress(String address) {
    if (address == null) {
      return null;
    }
    int colon = address.lastIndexOf(':');
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }
}
