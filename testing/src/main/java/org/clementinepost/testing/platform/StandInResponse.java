package org.clementinepost.testing.platform;

import java.nio.charset.StandardCharsets;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;
import org.clementinepost.storage.protocol.TableErrorCodec;

/** A response of the platform stand-in, independent of the HTTP library. */
@SuppressWarnings("ArrayRecordComponent") // The array goes directly to the socket.
record StandInResponse(int status, String contentType, byte[] body) {
  private static final String TABLE_CONTENT_TYPE = "application/x-amz-json-1.0";
  private static final String OBJECT_CONTENT_TYPE = "application/octet-stream";
  private static final String ERROR_CONTENT_TYPE = "application/xml";
  private static final int OK_STATUS = 200;
  private static final int BAD_REQUEST_STATUS = 400;
  private static final int NOT_FOUND_STATUS = 404;
  private static final int PRECONDITION_FAILED_STATUS = 412;
  private static final int SERVICE_UNAVAILABLE_STATUS = 503;
  private static final int SERVER_ERROR_STATUS = 500;
  private static final byte[] NO_BODY = {};

  static StandInResponse tableResult(byte[] body) {
    return new StandInResponse(OK_STATUS, TABLE_CONTENT_TYPE, body);
  }

  static StandInResponse tableError(Failure failure) {
    int status =
        failure.code() == ResultCode.PLATFORM_UNAVAILABLE
            ? SERVER_ERROR_STATUS
            : BAD_REQUEST_STATUS;
    return new StandInResponse(status, TABLE_CONTENT_TYPE, TableErrorCodec.encode(failure));
  }

  static StandInResponse objectContent(byte[] content) {
    return new StandInResponse(OK_STATUS, OBJECT_CONTENT_TYPE, content);
  }

  static StandInResponse objectStored() {
    return objectContent(NO_BODY);
  }

  static StandInResponse objectNotFound() {
    return objectError(NOT_FOUND_STATUS, "NoSuchKey");
  }

  static StandInResponse objectExists() {
    return objectError(PRECONDITION_FAILED_STATUS, "PreconditionFailed");
  }

  static StandInResponse objectError(Failure failure) {
    return switch (failure.code()) {
      case PLATFORM_CONDITION_FAILED -> objectExists();
      case PLATFORM_THROTTLED -> objectError(SERVICE_UNAVAILABLE_STATUS, "SlowDown");
      default -> objectError(SERVER_ERROR_STATUS, "InternalError");
    };
  }

  private static StandInResponse objectError(int status, String code) {
    String text = "<Error><Code>" + code + "</Code></Error>";
    return new StandInResponse(status, ERROR_CONTENT_TYPE, text.getBytes(StandardCharsets.UTF_8));
  }
}
