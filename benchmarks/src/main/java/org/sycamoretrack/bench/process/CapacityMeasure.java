package org.sycamoretrack.bench.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.sycamoretrack.bench.version.RolloutModel;

/**
 * The slopes behind the capacity page: time and memory of each role's core classes at several
 * sizes, and what they come to for one node at the size of the letter.
 */
public final class CapacityMeasure implements Measure {
  private static final int[] MEMBERS = {10, 50, 150, 350};
  private static final int[] SAMPLERS = {100, 1_000, 2_100, 4_200};
  private static final double RUN_MS = 20_000;
  private static final double CPU_BOUND = 0.018;
  private static final double MEMORY_BOUND_MB = 32;
  private static final double BYTES_BOUND = 10_000;
  private static final double CONFIGURATION_BOUND_S = 7;
  private static final double WEIGHTS_BOUND_S = 27;
  private static final double LOAD_MS = 4_000;
  private static final double STORE_LOADS_PER_S = 200;
  private static final double FLOOR_SHARE = 0.5;
  private static final int HEADER_BYTES = 52;

  private final List<Bound> bounds = new ArrayList<>();
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
    Report report = new Report("One node at the letter's size", "what", "measured", "bound");
    sum(report, "control cpu share", "capacity.cpu-share", controlCpu, CPU_BOUND, seed);
    sum(report, "control memory MB", "capacity.memory-mb", controlMb, MEMORY_BOUND_MB, seed);
    sum(report, "control bytes/s", "capacity.bytes-per-s", controlBytes, BYTES_BOUND, seed);
    bounds.forEach(report::bound);
    return report;
  }

  private static void sum(
      Report report, String label, String measure, double value, double bound, long seed) {
    report.row(label, format("%.4f", value), format("%.4f", bound));
    report.bound(Bound.atMost(measure, "core", value, Double.NaN, bound, seed));
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
      membershipRow(report, size, seed);
    }
    return report;
  }

  private void membershipRow(Report report, int size, long seed) {
    MembershipModel[] made = new MembershipModel[1];
    double megabytes = Stopwatch.megabytes(() -> made[0] = new MembershipModel(size, seed)) / size;
    MembershipModel model = made[0];
    model.run(RUN_MS);
    model.resetCounts();
    model.run(RUN_MS);
    double messages = model.messagesPerNode(RUN_MS);
    double bytes = model.bytesPerNode(RUN_MS);
    double withHeaders = bytes + messages * HEADER_BYTES;
    double cpu = model.cpuShare(RUN_MS);
    int suspicions = model.falseSuspicions();
    double versionMs = model.untilVersionIsInForceMs(7);
    model.stop(1);
    double crashMs = model.untilStoppedAreKnownMs();
    model.run(RUN_MS);
    model.resetCounts();
    model.stopZone();
    double zoneMs = model.untilStoppedAreKnownMs();
    double zoneBytes = model.bytesPerNode(zoneMs);
    report.row(
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
    if (size == LetterSize.NODES) {
      controlCpu += cpu;
      controlMb += megabytes;
      controlBytes += withHeaders;
      bounds.add(
          Bound.atMost(
              "capacity.configuration-in-force-s",
              "probes",
              versionMs / 1_000,
              Double.NaN,
              CONFIGURATION_BOUND_S,
              seed));
    }
  }

  private Report roles() {
    Report report =
        new Report(
            "Roles: time of an operation, and what it comes to for a node",
            "role",
            "operation",
            "size",
            "us",
            "times/s/node",
            "cpu %",
            "MB",
            "bytes/s/node",
            "part");
    for (RoleCost cost : RoleCosts.all(SAMPLERS)) {
      report.row(
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
        controlMb += cost.atLetterSize() ? cost.megabytes() : 0;
        controlBytes += cost.bytesPerS();
      }
    }
    return report;
  }

  private Report rollouts(long seed) {
    Report report =
        new Report(
            "Weights: a zone's engines, loads of 4 s, 200 loads a second in all zones together",
            "engines in all",
            "in a zone",
            "all proven s",
            "most out",
            "reads/s of the owner",
            "us a plan",
            "cpu % while rolling");
    for (int samplers : SAMPLERS) {
      int group = samplers / LetterSize.ZONES;
      RolloutModel model = new RolloutModel(group, LOAD_MS, 0, seed);
      double doneMs = model.roll(2, STORE_LOADS_PER_S / LetterSize.ZONES, FLOOR_SHARE);
      report.row(
          "" + samplers,
          "" + group,
          format("%.1f", doneMs / 1_000),
          "" + model.mostOut(),
          format("%.0f", model.readsPerS()),
          format("%.0f", model.planMicros()),
          format("%.2f", 100 * model.planCpuShare()));
      if (samplers == LetterSize.SAMPLERS) {
        bounds.add(
            Bound.atMost(
                "capacity.weights-on-all-s",
                "waves",
                doneMs / 1_000,
                Double.NaN,
                WEIGHTS_BOUND_S,
                seed));
        bounds.add(
            Bound.atMost(
                "capacity.rollout-owner-cpu-share",
                "waves",
                model.planCpuShare(),
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
