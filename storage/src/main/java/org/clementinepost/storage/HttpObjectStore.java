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
 * Reads and writes objects through the S3 REST protocol.
 *
 * <p>Requests are not signed; the platform must authorize the fleet by its IP addresses. A write
 * takes effect only if the object does not exist; otherwise the client compares the contents. Thus
 * an object never changes once written, and a write whose response was lost can be repeated.
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

  HttpObjectStore(PlatformHttpClient client, String bucketName) {
    this.client = client;
    this.bucketName = bucketName;
  }

  @Override
  public Mono<Either<Failure, Option<byte[]>>> get(String key) {
    return client
        .send("GET", objectPath(key), Vector.empty(), NO_BODY)
        .map(result -> result.flatMap(HttpObjectStore::toContent));
  }

  private static Either<Failure, Option<byte[]>> toContent(PlatformHttpClient.Response response) {
    if (response.status() == OK_STATUS) {
      return Either.right(Option.some(response.body()));
    }
    return response.status() == NOT_FOUND_STATUS
        ? Either.right(Option.none())
        : Either.left(toFailure(response));
  }

  @Override
  public Mono<Either<Failure, String>> put(String key, byte[] content) {
    return client
        .send("PUT", objectPath(key), Vector.of(new HeaderField("If-None-Match", "*")), content)
        .flatMap(
            result ->
                result.fold(this::failure, response -> onPutResponse(key, content, response)));
  }

  private Mono<Either<Failure, String>> failure(Failure failure) {
    return Mono.just(Either.left(failure));
  }

  private Mono<Either<Failure, String>> onPutResponse(
      String key, byte[] content, PlatformHttpClient.Response response) {
    if (response.status() == OK_STATUS) {
      return Mono.just(Either.right(key));
    }
    if (response.status() != PRECONDITION_FAILED_STATUS) {
      return failure(toFailure(response));
    }
    return get(key)
        .map(read -> read.flatMap(existing -> requireSameContent(key, content, existing)));
  }

  private static Either<Failure, String> requireSameContent(
      String key, byte[] content, Option<byte[]> existing) {
    return existing.exists(bytes -> Arrays.equals(bytes, content))
        ? Either.right(key)
        : Either.left(
            Failure.of(ResultCode.PLATFORM_CONDITION_FAILED, "a different object exists: " + key));
  }

  private static Failure toFailure(PlatformHttpClient.Response response) {
    String detail = "status=" + response.status();
    if (response.status() == TOO_MANY_REQUESTS_STATUS || isSlowDown(response)) {
      return Failure.of(ResultCode.PLATFORM_THROTTLED, detail);
    }
    return Failure.of(
        response.status() >= SERVER_ERROR_STATUS
            ? ResultCode.PLATFORM_UNAVAILABLE
            : ResultCode.PLATFORM_PROTOCOL,
        detail);
  }

  private static boolean isSlowDown(PlatformHttpClient.Response response) {
    return response.status() == SERVICE_UNAVAILABLE_STATUS
        && new String(response.body(), StandardCharsets.UTF_8).contains(SLOW_DOWN_CODE);
  }

  private String objectPath(String key) {
    String encoded = URLEncoder.encode(key, StandardCharsets.UTF_8).replace("+", "%20");
    return "/" + bucketName + "/" + encoded.replace("%2F", "/");
  }
}
