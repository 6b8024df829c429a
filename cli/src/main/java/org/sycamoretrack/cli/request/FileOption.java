package org.sycamoretrack.cli.request;

import com.beust.jcommander.Parameter;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/** The option of commands that read resources from a file. */
public final class FileOption {
  @Parameter(
      names = {"-f", "--file"},
      required = true,
      description = "file with resources in JSON, or - for the standard input")
  private String file;

  List<JsonNode> read() {
    return ResourceFile.read(file, System.in);
  }
}
