package org.sycamoretrack.daemon.client;

import java.util.Optional;
import org.sycamoretrack.core.version.fleet.Endpoint;
import org.sycamoretrack.core.version.routing.Manifest;

/** Decodes the rows that operators, trainers and endpoints write to the store. */
public interface DeploymentCodec {
  /**
   * A version of a model's weights that its trainer announced.
   *
   * @param model the model
   * @param version the version
   */
  record AnnouncedVersion(String model, int version) {}

  /** Returns the name of the table that operators and trainers write. */
  String operatorTable();

  /** Returns the name of the table in which endpoints register themselves. */
  String endpointTable();

  /**
   * Decodes a manifest.
   *
   * @param row a row of the operator's table
   * @return the manifest, or empty when the row holds something else
   * @throws IllegalArgumentException when the row holds an invalid manifest
   */
  Optional<Manifest> decodeManifest(PartitionedStore.Row row);

  /**
   * Decodes an announced version.
   *
   * @param row a row of the operator's table
   * @return the version, or empty when the row holds something else
   * @throws IllegalArgumentException when the row holds an invalid version
   */
  Optional<AnnouncedVersion> decodeAnnouncedVersion(PartitionedStore.Row row);

  /**
   * Decodes an endpoint.
   *
   * @param row a row of the table of endpoints
   * @return the endpoint
   * @throws IllegalArgumentException when the row holds no valid endpoint
   */
  Endpoint decodeEndpoint(PartitionedStore.Row row);
}
