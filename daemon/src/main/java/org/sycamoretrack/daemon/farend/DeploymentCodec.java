package org.sycamoretrack.daemon.farend;

import java.util.Optional;
import org.sycamoretrack.core.version.fleet.Endpoint;
import org.sycamoretrack.core.version.routing.Manifest;

/** Reads what operators, trainers and endpoints write into the store. */
public interface DeploymentCodec {
  /**
   * A version of a model's weights that its trainer named.
   *
   * @param model the model
   * @param version the version
   */
  record NamedVersion(String model, int version) {}

  /** Returns the table of what operators and trainers write. */
  String operatorTable();

  /** Returns the table in which endpoints list themselves. */
  String endpointTable();

  /**
   * Reads a manifest.
   *
   * @param row a row of the operator's table
   * @return the manifest; empty when the row holds something else
   * @throws IllegalArgumentException when the row holds a manifest that can't be read
   */
  Optional<Manifest> manifest(PartitionedStore.Row row);

  /**
   * Reads a named version.
   *
   * @param row a row of the operator's table
   * @return the version; empty when the row holds something else
   * @throws IllegalArgumentException when the row holds a version that can't be read
   */
  Optional<NamedVersion> namedVersion(PartitionedStore.Row row);

  /**
   * Reads an endpoint.
   *
   * @param row a row of the table of endpoints
   * @return the endpoint
   * @throws IllegalArgumentException when the row doesn't name an endpoint that can be used
   */
  Endpoint endpoint(PartitionedStore.Row row);
}
