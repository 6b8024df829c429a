package org.sycamoretrack.standins.driver;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * Options for starting the processes of a deployment.
 *
 * @param nodeCommand command line of a node, without its options
 * @param standinCommand command line of the stand-ins, without the subcommand
 * @param runDirectory directory for settings files and logs
 * @param platformOptions additional options of the platform
 * @param engineOptions additional options of the engines
 * @param limits limits to set in the settings of each node
 */
public record LaunchOptions(
    List<String> nodeCommand,
    List<String> standinCommand,
    Path runDirectory,
    List<String> platformOptions,
    List<String> engineOptions,
    Map<String, Integer> limits) {
  /** Makes defensive copies. */
  public LaunchOptions {
    nodeCommand = List.copyOf(nodeCommand);
    standinCommand = List.copyOf(standinCommand);
    platformOptions = List.copyOf(platformOptions);
    engineOptions = List.copyOf(engineOptions);
    limits = Map.copyOf(limits);
  }
}
