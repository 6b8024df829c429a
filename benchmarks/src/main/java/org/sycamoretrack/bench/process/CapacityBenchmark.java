package org.sycamoretrack.bench.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.sycamoretrack.bench.version.RolloutSimulation;

/**
 * Measures time and memory of each role's core classes at several sizes, and sums up the cost per
 * node at {@link ReferenceScale}.
 */
public final class CapacityBenchmark implements Benchmark {
  private static final int[] MEMBERS = {10, 50, 150, 350};
  private static final int[] SAMPLERS = {100, 1_000, 2_100, 4_200};
  private static final double RUN_MS = 20_000;
  private static final double CPU_BOUND = 0.018;
  private static final double MEMORY_BOUND_MB = 32;
  private static final double BYTES_BOUND = 10_000;
  private static final double CONFIGURATION_APPLIED_BOUND_S = 7;
  private static final double ROLLOUT_BOUND_S = 27;
  private static final double WEIGHT_LOAD_MS = 4_000;
  private static final double STORE_LOADS_PER_S = 200;
  private static final double FLOOR_SHARE = 0.5;
  private static final int TCP_IP_HEADER_BYTES = 52;

  private final List<BoundCheck> boundChecks = new ArrayList<>();
  private double controlCpu;
  private double controlMb;
  private double controlBytes;

  @Override
  public String name() {
    return "capacity";
  }

  @Override
  public Report run(long seed) {
    membership(seed).print(System.out);
    roles().print(System.out);
    rollouts(seed).print(System.out);
    Report report = new Report("One node at the reference scale", "what", "measured", "bound");
    addTotal(report, "control cpu share", "capacity.cpu-share", controlCpu, CPU_BOUND, seed);
    addTotal(report, "control memory MB", "capacity.memory-mb", controlMb, MEMORY_BOUND_MB, seed);
    addTotal(report, "control bytes/s", "capacity.bytes-per-s", controlBytes, BYTES_BOUND, seed);
    boundChecks.forEach(report::addBoundCheck);
    return report;
  }

  private static void addTotal(
      Report report, String label, String metric, double value, double bound, long seed) {
    report.addRow(label, format("%.4f", value), format("%.4f", bound));
    report.addBoundCheck(BoundCheck.atMost(metric, "core", value, Double.NaN, bound, seed));
  }

  private Report membership(long seed) {
    Report report =
        new Report(
            "Membership, 4 zones in 2 regions",
            "members",
            "messages/s/node",
            "bytes/s/node",
            "with TCP/IP headers",
            "cpu %/node",
            "false suspicions",
            "crash known ms",
            "version in force ms",
            "zone lost known ms",
            "bytes/s/node then",
            "MB/node");
    for (int size : MEMBERS) {
      addMembershipRow(report, size, seed);
    }
    return report;
  }

  private void addMembershipRow(Report report, int size, long seed) {
    MembershipSimulation[] created = new MembershipSimulation[1];
    double megabytes =
        MicroBenchmark.retainedMegabytes(() -> created[0] = new MembershipSimulation(size, seed))
            / size;
    MembershipSimulation simulation = created[0];
    simulation.run(RUN_MS);
    simulation.resetCounts();
    simulation.run(RUN_MS);
    double messages = simulation.messagesPerNode(RUN_MS);
    double bytes = simulation.bytesPerNode(RUN_MS);
    double withHeaders = bytes + messages * TCP_IP_HEADER_BYTES;
    double cpu = simulation.cpuShare(RUN_MS);
    int suspicions = simulation.falseSuspicions();
    double versionMs = simulation.versionPropagationMs(7);
    simulation.stop(1);
    double crashMs = simulation.failureDetectionMs();
    simulation.run(RUN_MS);
    simulation.resetCounts();
    simulation.stopZone();
    double zoneMs = simulation.failureDetectionMs();
    double zoneBytes = simulation.bytesPerNode(zoneMs);
    report.addRow(
        "" + size,
        format("%.1f", messages),
        format("%.0f", bytes),
        format("%.0f", withHeaders),
        format("%.3f", 100 * cpu),
        "" + suspicions,
        format("%.0f", crashMs),
        format("%.0f", versionMs),
        format("%.0f", zoneMs),
        format("%.0f", zoneBytes),
        format("%.3f", megabytes));
    if (size == ReferenceScale.NODES) {
      controlCpu += cpu;
      controlMb += megabytes;
      controlBytes += withHeaders;
      boundChecks.add(
          BoundCheck.atMost(
              "capacity.configuration-in-force-s",
              "probes",
              versionMs / 1_000,
              Double.NaN,
              CONFIGURATION_APPLIED_BOUND_S,
              seed));
    }
  }

  private Report roles() {
    Report report =
        new Report(
            "Roles: time per operation, and cost per node",
            "role",
            "operation",
            "size",
            "us",
            "times/s/node",
            "cpu %",
            "MB",
            "bytes/s/node",
            "part");
    for (RoleCost cost : RoleCosts.measureAll(SAMPLERS)) {
      report.addRow(
          cost.role(),
          cost.operation(),
          "" + cost.size(),
          cost.micros() == 0 ? "-" : format("%.2f", cost.micros()),
          cost.perSecond() == 0 ? "-" : format("%.3f", cost.perSecond()),
          cost.cpuShare() == 0 ? "-" : format("%.4f", 100 * cost.cpuShare()),
          cost.megabytes() == 0 ? "-" : format("%.2f", cost.megabytes()),
          cost.bytesPerS() == 0 ? "-" : format("%.0f", cost.bytesPerS()),
          cost.control() ? "control" : "traffic");
      if (cost.control()) {
        controlCpu += cost.cpuShare();
        controlMb += cost.isAtReferenceScale() ? cost.megabytes() : 0;
        controlBytes += cost.bytesPerS();
      }
    }
    return report;
  }

  private Report rollouts(long seed) {
    Report report =
        new Report(
            "Weights: the engines of a zone, loads of 4 s, 200 loads/s in all zones together",
            "engines in all",
            "in a zone",
            "all verified s",
            "most out",
            "reads/s of the owner",
            "us/plan",
            "cpu % during rollout");
    for (int samplers : SAMPLERS) {
      int zoneSamplers = samplers / ReferenceScale.ZONES;
      RolloutSimulation simulation = new RolloutSimulation(zoneSamplers, WEIGHT_LOAD_MS, 0, seed);
      double rolloutMs =
          simulation.rollOut(2, STORE_LOADS_PER_S / ReferenceScale.ZONES, FLOOR_SHARE);
      report.addRow(
          "" + samplers,
          "" + zoneSamplers,
          format("%.1f", rolloutMs / 1_000),
          "" + simulation.maxOutOfService(),
          format("%.0f", simulation.readsPerS()),
          format("%.0f", simulation.planMicros()),
          format("%.2f", 100 * simulation.planCpuShare()));
      if (samplers == ReferenceScale.SAMPLERS) {
        boundChecks.add(
            BoundCheck.atMost(
                "capacity.weights-on-all-s",
                "waves",
                rolloutMs / 1_000,
                Double.NaN,
                ROLLOUT_BOUND_S,
                seed));
        boundChecks.add(
            BoundCheck.atMost(
                "capacity.rollout-owner-cpu-share",
                "waves",
                simulation.planCpuShare(),
                Double.NaN,
                CPU_BOUND,
                seed));
      }
    }
    return report;
  }

  private static String format(String pattern, double value) {
    return String.format(Locale.ROOT, pattern, value);
  }
}
