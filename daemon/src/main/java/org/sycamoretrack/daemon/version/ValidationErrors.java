package org.sycamoretrack.daemon.version;

import java.util.List;
import java.util.stream.Collectors;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.request.ExecutionOutcome;
import org.sycamoretrack.core.version.Violation;

/** Creates the exception that lists all violations found in resources. */
final class ValidationErrors {
  private ValidationErrors() {}

  static SycamoreException toException(List<Violation> violations) {
    return new SycamoreException(
        ErrorCode.INVALID_REQUEST,
        ExecutionOutcome.NOT_RUN,
        violations.stream().map(Violation::toString).collect(Collectors.joining("; ")));
  }
}
