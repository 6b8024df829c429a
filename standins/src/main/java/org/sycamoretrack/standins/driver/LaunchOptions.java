package org.sycamoretrack.standins.driver;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * How the processes of a deployment are started.
 *
 * @param nodeCommand program and arguments of a node, up to its own options
 * @param standinCommand program and arguments of the stand-ins, up to the sub-command
 * @param runDirectory where settings and logs go
 * @param platformOptions further options of the platform
 * @param engineOptions further options of the engines
 * @param limits limits in the settings of each node
 */
public record LaunchOptions(
    List<String> nodeCommand,
    List<String> standinCommand,
    Path runDirectory,
    List<String> platformOptions,
    List<String> engineOptions,
    Map<String, Integer> limits) {
  /** Copies the lists. */
  public LaunchOptions {
    nodeCommand = List.copyOf(nodeCommand);
    standinCommand = List.copyOf(standinCommand);
    platformOptions = List.copyOf(platformOptions);
    engineOptions = List.copyOf(engineOptions);
    limits = Map.copyOf(limits);
  }
}
