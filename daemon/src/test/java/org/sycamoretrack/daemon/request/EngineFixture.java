package org.sycamoretrack.daemon.request;

import io.netty.channel.EventLoopGroup;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.IntPredicate;
import org.sycamoretrack.core.connection.EndpointView;
import org.sycamoretrack.core.request.RequestClass;
import org.sycamoretrack.core.request.VersionSpan;
import org.sycamoretrack.core.request.VersionSpanCollector;
import org.sycamoretrack.daemon.client.HttpEngineClient;
import org.sycamoretrack.daemon.process.NodeLimits;
import org.sycamoretrack.daemon.process.NodeMetrics;
import org.sycamoretrack.daemon.process.SettingsReader;
import org.sycamoretrack.standins.process.EngineSettings;
import org.sycamoretrack.standins.process.EngineStandin;
import org.sycamoretrack.transport.connection.EventLoops;
import org.sycamoretrack.transport.connection.HttpClient;
import org.sycamoretrack.transport.process.Json;

/** A pool of engine stand-ins and the request components of one node that send to them. */
final class EngineFixture implements AutoCloseable {
  static final String POOL = "pool";
  static final int MEDIAN_TOKENS = 64;
  static final NodeLimits LIMITS =
      Json.mapper().convertValue(SettingsReader.defaultLimits(), NodeLimits.class);

  final List<EngineStandin> engines = new ArrayList<>();
  final EventLoopGroup loops = EventLoops.start("fixture", 2);
  final PoisonGuard poison = new PoisonGuard("node");
  final NodeMetrics metrics = new NodeMetrics();
  final EndpointDirectory endpoints;
  final Dispatcher dispatcher;
  volatile IntPredicate inService = index -> true;
  volatile int servedVersion = 7;

  EngineFixture(int count, EngineSettings.Builder settings) {
    for (int i = 0; i < count; i++) {
      engines.add(
          EngineStandin.start(
              0, settings.medianTokens(MEDIAN_TOKENS).initialVersion(7).seed(i).build()));
    }
    HttpEngineClient client = new HttpEngineClient(new HttpClient(loops, 500), 2_000);
    endpoints = new EndpointDirectory(loops, client, poison, LIMITS, metrics);
    endpoints.setTargets(targets());
    dispatcher =
        new Dispatcher(
            "z",
            this::routes,
            (route, request, listener) ->
                endpoints.runLocally(route.target().name(), request, listener));
  }

  private List<EndpointTarget> targets() {
    List<EndpointTarget> targets = new ArrayList<>();
    for (int i = 0; i < engines.size(); i++) {
      targets.add(new EndpointTarget("e" + i, POOL, "z", engines.get(i).address(), "m"));
    }
    return targets;
  }

  RoutingTable routes() {
    List<EndpointRoute> routes = new ArrayList<>();
    for (EndpointTarget target : targets()) {
      int index = Integer.parseInt(target.name().substring(1));
      EndpointWorker worker = endpoints.worker(target.name());
      EndpointView.Builder view =
          worker == null
              ? EndpointView.builder(target.name(), "z").limit(16)
              : org.sycamoretrack.daemon.connection.EndpointLoad.of(worker.view(), false, 0)
                  .toView(target.name(), "z", 0);
      routes.add(
          new EndpointRoute(
              target,
              view.servedVersion(servedVersion).inService(inService.test(index)).build(),
              "node"));
    }
    return new RoutingTable(routes);
  }

  static GenerationRequest.Builder request(String prompt, long seed) {
    return GenerationRequest.builder("r" + seed)
        .pools(List.of(POOL))
        .prompt(prompt)
        .seed(seed)
        .maxTokens(1_000)
        .requestClass(RequestClass.ROLLOUT)
        .deadlineNanos(System.nanoTime() + TimeUnit.SECONDS.toNanos(30));
  }

  /**
   * Generates a completion and collects it. {@code end} of the result fails when the generation
   * fails.
   */
  CollectingListener generate(GenerationRequest request) {
    CollectingListener collected = new CollectingListener();
    var loop = loops.next();
    loop.execute(() -> collected.generation = dispatcher.generate(request, collected, loop));
    return collected;
  }

  @Override
  public void close() {
    engines.forEach(EngineStandin::close);
    EventLoops.stop(loops);
  }

  /** Collects the output of one request. */
  static final class CollectingListener implements GenerationListener {
    final StringBuilder text = new StringBuilder();
    final VersionSpanCollector spans = new VersionSpanCollector();
    final CompletableFuture<Void> firstTokens = new CompletableFuture<>();
    final CompletableFuture<String> end = new CompletableFuture<>();
    volatile Generation generation;

    @Override
    public void onTokens(String newText, int tokens, long version) {
      text.append(newText);
      spans.append(version, tokens);
      firstTokens.complete(null);
    }

    @Override
    public void onFinished(String finishReason) {
      end.complete(finishReason);
    }

    @Override
    public void onFailed(GenerationFailure failure) {
      end.completeExceptionally(failure.toException());
    }

    List<VersionSpan> spans() {
      return spans.toList();
    }
  }
}
