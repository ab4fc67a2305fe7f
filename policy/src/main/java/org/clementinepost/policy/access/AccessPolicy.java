package org.clementinepost.policy.access;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.Set;
import org.clementinepost.api.CustomerId;
import org.clementinepost.api.Failure;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.config.Key;
import org.clementinepost.api.config.Route;
import org.clementinepost.api.config.Service;
import org.clementinepost.api.config.Snapshot;

/**
 * Decides which service a request goes to and for which customer it runs.
 *
 * <p>It reads the snapshot at each request, so that a withdrawn key ends on connections that stay
 * open too.
 */
public final class AccessPolicy {
  private static final long DEFAULT_TIMEOUT_MILLIS = 30_000;
  private static final Set<String> IDEMPOTENT_METHODS =
      Set.of("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE");

  private AccessPolicy() {}

  /** Decides on one request. */
  public static Either<Failure, RequestHead> decide(Snapshot snapshot, ArrivedRequest request) {
    if (!SafePath.isSafe(request.path())) {
      return Either.left(Failure.of(ResultCode.BAD_REQUEST, "path"));
    }
    Option<Route> route = snapshot.routes().match(request.path());
    if (route.isEmpty()) {
      return Either.left(Failure.of(ResultCode.NO_ROUTE, request.path()));
    }
    return customer(snapshot, route.get(), request)
        .map(customer -> head(snapshot, route.get(), customer, request));
  }

  private static Either<Failure, Option<CustomerId>> customer(
      Snapshot snapshot, Route route, ArrivedRequest request) {
    if (route.openToAll()) {
      return Either.right(Option.none());
    }
    if (request.keyHash().isEmpty()) {
      return Either.left(Failure.of(ResultCode.KEY_MISSING));
    }
    Option<CustomerId> customer = request.keyHash().flatMap(snapshot::keyByHash).map(Key::customer);
    if (customer.isEmpty()) {
      return Either.left(Failure.of(ResultCode.KEY_UNKNOWN));
    }
    if (!route.customers().isEmpty() && !route.customers().contains(customer.get())) {
      return Either.left(Failure.of(ResultCode.CUSTOMER_NOT_ALLOWED, route.name()));
    }
    return Either.right(customer);
  }

  private static RequestHead head(
      Snapshot snapshot, Route route, Option<CustomerId> customer, ArrivedRequest request) {
    long limitMillis =
        snapshot
            .services()
            .get(route.service())
            .map(Service::timeoutMillis)
            .getOrElse(DEFAULT_TIMEOUT_MILLIS);
    long timeoutMillis =
        request.timeoutMillis().map(asked -> Math.min(asked, limitMillis)).getOrElse(limitMillis);
    return new RequestHead(
        request.requestId(),
        1,
        customer,
        route.service(),
        request.method(),
        request.uri(),
        request.headers(),
        IDEMPOTENT_METHODS.contains(request.method()),
        request.idempotencyKey(),
        timeoutMillis,
        request.bodyBytes());
  }
}
