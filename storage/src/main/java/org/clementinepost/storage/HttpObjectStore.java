package org.clementinepost.storage;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.clementinepost.api.Failure;
import org.clementinepost.api.HeaderField;
import org.clementinepost.api.ResultCode;
import reactor.core.publisher.Mono;

/**
 * Reads and writes objects by the S3 REST protocol.
 *
 * <p>Requests are not signed; the platform has to admit the fleet by its addresses. A write asks
 * the store to keep an object that is there, and then compares, so that an object once written
 * never changes and a write whose answer was lost can be made again.
 */
final class HttpObjectStore implements ObjectStore {
  private static final int OK_STATUS = 200;
  private static final int NOT_FOUND_STATUS = 404;
  private static final int PRECONDITION_FAILED_STATUS = 412;
  private static final int TOO_MANY_REQUESTS_STATUS = 429;
  private static final int SERVER_ERROR_STATUS = 500;
  private static final int SERVICE_UNAVAILABLE_STATUS = 503;
  private static final String SLOW_DOWN_CODE = "SlowDown";
  private static final byte[] NO_BODY = {};

  private final PlatformHttpClient client;
  private final String bucketName;

  HttpObjectStore(PlatformHttpClient exchange, String bucketName) {
    this.client = exchange;
    this.bucketName = bucketName;
  }

  @Override
  public Mono<Either<Failure, Option<byte[]>>> get(String key) {
    return client
        .send("GET", objectPath(key), Vector.empty(), NO_BODY)
        .map(sent -> sent.flatMap(HttpObjectStore::toContent));
  }

  private static Either<Failure, Option<byte[]>> toContent(PlatformHttpClient.Response answer) {
    if (answer.status() == OK_STATUS) {
      return Either.right(Option.some(answer.body()));
    }
    return answer.status() == NOT_FOUND_STATUS
        ? Either.right(Option.none())
        : Either.left(toFailure(answer));
  }

  @Override
  public Mono<Either<Failure, String>> put(String key, byte[] content) {
    return client
        .send("PUT", objectPath(key), Vector.of(new HeaderField("If-None-Match", "*")), content)
        .flatMap(sent -> sent.fold(this::failure, answer -> onPutResponse(key, content, answer)));
  }

  private Mono<Either<Failure, String>> failure(Failure failure) {
    return Mono.just(Either.left(failure));
  }

  private Mono<Either<Failure, String>> onPutResponse(
      String key, byte[] content, PlatformHttpClient.Response answer) {
    if (answer.status() == OK_STATUS) {
      return Mono.just(Either.right(key));
    }
    if (answer.status() != PRECONDITION_FAILED_STATUS) {
      return failure(toFailure(answer));
    }
    return get(key).map(read -> read.flatMap(present -> requireSameContent(key, content, present)));
  }

  private static Either<Failure, String> requireSameContent(
      String key, byte[] content, Option<byte[]> present) {
    return present.exists(bytes -> Arrays.equals(bytes, content))
        ? Either.right(key)
        : Either.left(Failure.of(ResultCode.PLATFORM_CONDITION_FAILED, "another object: " + key));
  }

  private static Failure toFailure(PlatformHttpClient.Response answer) {
    String detail = "status=" + answer.status();
    if (answer.status() == TOO_MANY_REQUESTS_STATUS || isSlowDown(answer)) {
      return Failure.of(ResultCode.PLATFORM_THROTTLED, detail);
    }
    return Failure.of(
        answer.status() >= SERVER_ERROR_STATUS
            ? ResultCode.PLATFORM_UNAVAILABLE
            : ResultCode.PLATFORM_PROTOCOL,
        detail);
  }

  private static boolean isSlowDown(PlatformHttpClient.Response answer) {
    return answer.status() == SERVICE_UNAVAILABLE_STATUS
        && new String(answer.body(), StandardCharsets.UTF_8).contains(SLOW_DOWN_CODE);
  }

  private String objectPath(String key) {
    String encoded = URLEncoder.encode(key, StandardCharsets.UTF_8).replace("+", "%20");
    return "/" + bucketName + "/" + encoded.replace("%2F", "/");
  }
}
