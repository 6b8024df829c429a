package org.sycamoretrack.daemon.version;

import java.util.List;
import java.util.stream.Collectors;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.request.ExecutionOutcome;
import org.sycamoretrack.core.version.ValidationError;

/** Creates the exception that lists all validation errors found in resources. */
final class ValidationErrors {
  private ValidationErrors() {}

  static SycamoreException toException(List<ValidationError> errors) {
    return new SycamoreException(
        ErrorCode.INVALID_REQUEST,
        ExecutionOutcome.NOT_RUN,
        errors.stream().map(ValidationError::toString).collect(Collectors.joining("; ")));
  }
}
