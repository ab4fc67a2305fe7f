package org.clementinepost.storage.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;

/**
 * Maps the table service's errors to result codes by their type, and encodes them.
 *
 * <p>The result code tells whether a write took effect: a cancelled transaction and a throttled
 * request did not; after any unknown error it is uncertain.
 */
public final class TableErrorCodec {
  private static final int SERVER_ERROR_STATUS = 500;
  private static final String TYPE = "__type";
  private static final String TYPE_PREFIX = "com.amazonaws.dynamodb.v20120810#";
  private static final String MESSAGE = "message";
  private static final String REASONS = "CancellationReasons";
  private static final String CODE = "Code";
  private static final String TRANSACTION_CANCELED = "TransactionCanceledException";
  private static final String THROUGHPUT_EXCEEDED = "ProvisionedThroughputExceededException";
  private static final String VALIDATION = "ValidationException";
  private static final String INTERNAL_ERROR = "InternalServerError";
  private static final String CONDITION_FAILED = "ConditionalCheckFailed";
  private static final Set<String> THROTTLING_ERRORS =
      HashSet.of(
          THROUGHPUT_EXCEEDED,
          "ThrottlingException",
          "RequestLimitExceeded",
          "LimitExceededException",
          "TransactionConflictException");
  private static final Set<String> THROTTLING_REASONS =
      HashSet.of("TransactionConflict", "ProvisionedThroughputExceeded", "ThrottlingError");

  private TableErrorCodec() {}

  /** Decodes a response with an error status. */
  public static Failure decode(int status, byte[] body) {
    return Json.read(body, node -> decode(status, node))
        .getOrElse(() -> Failure.of(codeOfUnknownError(status), "status=" + status));
  }

  private static Failure decode(int status, JsonNode node) {
    String type = node.path(TYPE).asText();
    String name = type.substring(type.indexOf('#') + 1);
    return Failure.of(codeOf(status, name, node), name + " " + node.path(MESSAGE).asText());
  }

  private static ResultCode codeOf(int status, String name, JsonNode node) {
    if (THROTTLING_ERRORS.contains(name)) {
      return ResultCode.PLATFORM_THROTTLED;
    }
    if (!name.equals(TRANSACTION_CANCELED)) {
      return codeOfUnknownError(status);
    }
    Vector<String> reasons =
        Vector.ofAll(node.path(REASONS)).map(reason -> reason.path(CODE).asText());
    if (reasons.contains(CONDITION_FAILED)) {
      return ResultCode.PLATFORM_CONDITION_FAILED;
    }
    return reasons.exists(THROTTLING_REASONS::contains)
        ? ResultCode.PLATFORM_THROTTLED
        : ResultCode.PLATFORM_PROTOCOL;
  }

  private static ResultCode codeOfUnknownError(int status) {
    return status >= SERVER_ERROR_STATUS
        ? ResultCode.PLATFORM_UNAVAILABLE
        : ResultCode.PLATFORM_PROTOCOL;
  }

  /** Encodes a failure as the body of an error response. */
  public static byte[] encode(Failure failure) {
    ObjectNode node =
        JsonNodeFactory.instance
            .objectNode()
            .put(TYPE, TYPE_PREFIX + typeOf(failure.code()))
            .put(MESSAGE, failure.detail());
    if (failure.code() == ResultCode.PLATFORM_CONDITION_FAILED) {
      node.putArray(REASONS).addObject().put(CODE, CONDITION_FAILED);
    }
    return Json.write(node);
  }

  private static String typeOf(ResultCode code) {
    return switch (code) {
      case PLATFORM_CONDITION_FAILED -> TRANSACTION_CANCELED;
      case PLATFORM_THROTTLED -> THROUGHPUT_EXCEEDED;
      case PLATFORM_PROTOCOL -> VALIDATION;
      default -> INTERNAL_ERROR;
    };
  }
}
