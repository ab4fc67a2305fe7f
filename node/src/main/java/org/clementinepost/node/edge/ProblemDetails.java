package org.clementinepost.node.edge;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.clementinepost.api.Failure;
import org.clementinepost.api.RequestId;

/** Formats a failure of the fleet as a problem details object (RFC 9457). */
final class ProblemDetails {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String TYPE_PREFIX = "urn:clementinepost:result:";

  private ProblemDetails() {}

  static String toJson(RequestId id, Failure failure) {
    return MAPPER
        .createObjectNode()
        .put("type", TYPE_PREFIX + failure.code().number())
        .put("title", failure.code().title())
        .put("status", failure.code().httpStatus())
        .put("detail", failure.detail())
        .put("code", failure.code().number())
        .put("run", failure.runState().label())
        .put("requestId", id.value())
        .toString();
  }
}
