package org.clementinepost.policy.access;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.Set;
import org.clementinepost.api.AdmissionMode;
import org.clementinepost.api.CustomerId;
import org.clementinepost.api.Failure;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.RequestOptions;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.ServiceId;
import org.clementinepost.api.config.ApiKey;
import org.clementinepost.api.config.Customer;
import org.clementinepost.api.config.Route;
import org.clementinepost.api.config.RouteRules;
import org.clementinepost.api.config.Service;
import org.clementinepost.api.config.Snapshot;

/**
 * Authorizes a request: determines its service and the customer on whose behalf it runs.
 *
 * <p>Every request is checked against the current snapshot, so that a withdrawn key is rejected on
 * connections that are already open, too.
 */
public final class AccessPolicy {
  private static final long DEFAULT_TIMEOUT_MILLIS = 30_000;
  private static final Set<String> IDEMPOTENT_METHODS =
      Set.of("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE");

  private AccessPolicy() {}

  /** Authorizes a request by a configuration that is known to be current. */
  public static Either<Failure, RequestHead> authorize(Snapshot snapshot, IncomingRequest request) {
    return authorize(snapshot, true, request);
  }

  /**
   * Authorizes a request.
   *
   * @param snapshot the configuration in force
   * @param keysConfirmed whether the configuration's keys were confirmed recently; otherwise every
   *     key is rejected, since it may have been withdrawn
   * @param request the request
   */
  public static Either<Failure, RequestHead> authorize(
      Snapshot snapshot, boolean keysConfirmed, IncomingRequest request) {
    if (snapshot.version() == 0) {
      return Either.left(
          Failure.of(ResultCode.CONFIGURATION_UNCONFIRMED, "no configuration received yet"));
    }
    if (!SafePath.isSafe(request.path())) {
      return Either.left(Failure.of(ResultCode.BAD_REQUEST, "unsafe path"));
    }
    Option<Route> route = snapshot.routes().match(request.host(), request.path());
    if (route.isEmpty()) {
      return Either.left(Failure.of(ResultCode.NO_ROUTE, request.path()));
    }
    if (!route.get().openToAll() && !keysConfirmed) {
      return Either.left(
          Failure.of(ResultCode.CONFIGURATION_UNCONFIRMED, "keys not confirmed recently"));
    }
    return authorizedCustomer(snapshot, route.get(), request)
        .map(customer -> requestHead(snapshot, route.get(), customer, request));
  }

  private static Either<Failure, Option<CustomerId>> authorizedCustomer(
      Snapshot snapshot, Route route, IncomingRequest request) {
    if (route.openToAll()) {
      return Either.right(Option.none());
    }
    if (request.keyHash().isEmpty()) {
      return Either.left(Failure.of(ResultCode.KEY_MISSING));
    }
    Option<CustomerId> customer =
        request.keyHash().flatMap(snapshot::keyByHash).map(ApiKey::customer);
    if (customer.isEmpty()) {
      return Either.left(Failure.of(ResultCode.KEY_UNKNOWN));
    }
    if (!route.customers().isEmpty() && !route.customers().contains(customer.get())) {
      return Either.left(Failure.of(ResultCode.CUSTOMER_NOT_ALLOWED, route.name()));
    }
    return Either.right(customer);
  }

  private static RequestHead requestHead(
      Snapshot snapshot, Route route, Option<CustomerId> customer, IncomingRequest request) {
    ServiceId service = route.chooseService(request.randomFraction());
    long maxTimeoutMillis = maxTimeoutMillis(snapshot, route, service);
    long timeoutMillis =
        request
            .timeoutMillis()
            .map(requestedMillis -> Math.min(requestedMillis, maxTimeoutMillis))
            .getOrElse(maxTimeoutMillis);
    return new RequestHead(
        request.requestId(),
        1,
        customer,
        service,
        request.method(),
        request.uri(),
        request.headers(),
        route.rules().idempotent().getOrElse(() -> IDEMPOTENT_METHODS.contains(request.method())),
        request.idempotencyKey(),
        timeoutMillis,
        request.bodyBytes(),
        requestOptions(snapshot, route, customer, request));
  }

  private static long maxTimeoutMillis(Snapshot snapshot, Route route, ServiceId service) {
    if (route.rules().timeoutMillis() > 0) {
      return route.rules().timeoutMillis();
    }
    return snapshot
        .services()
        .get(service)
        .map(Service::timeoutMillis)
        .getOrElse(DEFAULT_TIMEOUT_MILLIS);
  }

  private static RequestOptions requestOptions(
      Snapshot snapshot, Route route, Option<CustomerId> customer, IncomingRequest request) {
    RouteRules rules = route.rules();
    int priority =
        customer
            .flatMap(snapshot.customers()::get)
            .flatMap(Customer::priority)
            .getOrElse(rules.priority());
    return new RequestOptions(
        priority,
        rules.targetLatencyMillis(),
        rules.maxAttempts(),
        request.callingService(),
        AdmissionMode.FREE_SLOT_ONLY);
  }
}
