package org.clementinepost.policy.access;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.collection.HashMap;
import io.vavr.collection.HashSet;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.clementinepost.api.CustomerId;
import org.clementinepost.api.Failure;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.RequestId;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.ServiceId;
import org.clementinepost.api.config.ApiKey;
import org.clementinepost.api.config.Route;
import org.clementinepost.api.config.RouteTable;
import org.clementinepost.api.config.Service;
import org.clementinepost.api.config.Snapshot;
import org.junit.jupiter.api.Test;

final class AccessPolicyTest {
  private static final CustomerId CLINIC = new CustomerId("clinic");
  private static final CustomerId DEPOT = new CustomerId("depot");
  private static final ServiceId SWAPS = new ServiceId("swaps");
  private static final Snapshot SNAPSHOT =
      new Snapshot(
          1,
          HashMap.empty(),
          HashMap.of("aa", new ApiKey("k-1", CLINIC, "aa"), "bb", new ApiKey("k-2", DEPOT, "bb")),
          HashMap.of(SWAPS, new Service(SWAPS, 50, 1, 2_000, 0, 1)),
          HashMap.empty(),
          RouteTable.empty()
              .with(new Route("all", "/", SWAPS, false, HashSet.empty()))
              .with(new Route("clinics", "/clinics", SWAPS, false, HashSet.of(CLINIC)))
              .with(new Route("status", "/status", SWAPS, true, HashSet.empty())),
          HashMap.empty());

  private static IncomingRequest request(String method, String uri, String keyHash) {
    return new IncomingRequest(
        new RequestId("r-1"),
        Option.of(keyHash),
        method,
        uri,
        Vector.empty(),
        Option.none(),
        Option.none(),
        RequestHead.NO_BODY);
  }

  private static Either<Failure, RequestHead> authorizeGet(String uri, String keyHash) {
    return AccessPolicy.authorize(SNAPSHOT, request("GET", uri, keyHash));
  }

  @Test
  void authorizesRequestForCustomerOfItsKey() {
    assertThat(authorizeGet("/a", "bb").get().customer()).contains(DEPOT);
  }

  @Test
  void rejectsRequestWithoutKey() {
    assertThat(authorizeGet("/a", null).getLeft().code()).isEqualTo(ResultCode.KEY_MISSING);
  }

  @Test
  void rejectsUnknownKey() {
    assertThat(authorizeGet("/a", "cc").getLeft().code()).isEqualTo(ResultCode.KEY_UNKNOWN);
  }

  @Test
  void rejectsCustomerNotListedInRoute() {
    assertThat(authorizeGet("/clinics/7", "aa").isRight()).isTrue();
    assertThat(authorizeGet("/clinics/7", "bb").getLeft().code())
        .isEqualTo(ResultCode.CUSTOMER_NOT_ALLOWED);
  }

  @Test
  void openRouteNeedsNoKeyAndHasNoCustomer() {
    assertThat(authorizeGet("/status?full=1", null).get().customer()).isEmpty();
    assertThat(authorizeGet("/status", "aa").get().customer()).isEmpty();
  }

  @Test
  void routePrefixMatchesWholeSegmentsOnly() {
    assertThat(authorizeGet("/statuses", null).getLeft().code()).isEqualTo(ResultCode.KEY_MISSING);
  }

  @Test
  void rejectsRequestWithoutMatchingRoute() {
    Either<Failure, RequestHead> authorized =
        AccessPolicy.authorize(Snapshot.empty().withVersion(1), request("GET", "/a", "aa"));
    assertThat(authorized.getLeft().code()).isEqualTo(ResultCode.NO_ROUTE);
  }

  @Test
  void doesNotReportMissingRouteBeforeFirstConfiguration() {
    assertThat(
            AccessPolicy.authorize(Snapshot.empty(), request("GET", "/a", "aa")).getLeft().code())
        .isEqualTo(ResultCode.CONFIGURATION_UNCONFIRMED);
  }

  @Test
  void rejectsKeysButServesOpenRoutesWhenKeysAreUnconfirmed() {
    assertThat(AccessPolicy.authorize(SNAPSHOT, false, request("GET", "/a", "aa")).getLeft().code())
        .isEqualTo(ResultCode.CONFIGURATION_UNCONFIRMED);
    assertThat(AccessPolicy.authorize(SNAPSHOT, false, request("GET", "/status", null)).isRight())
        .isTrue();
  }

  @Test
  void rejectsDotSegmentBelowOpenRoute() {
    assertThat(authorizeGet("/status/../a", null).getLeft().code())
        .isEqualTo(ResultCode.BAD_REQUEST);
  }

  @Test
  void usesShorterOfCallerAndServiceTimeout() {
    IncomingRequest requestWithTimeout =
        new IncomingRequest(
            new RequestId("r-1"),
            Option.of("aa"),
            "GET",
            "/a",
            Vector.empty(),
            Option.none(),
            Option.of(50L),
            RequestHead.NO_BODY);
    assertThat(AccessPolicy.authorize(SNAPSHOT, requestWithTimeout).get().timeoutMillis())
        .isEqualTo(50);
    assertThat(authorizeGet("/a", "aa").get().timeoutMillis()).isEqualTo(2_000);
  }

  @Test
  void getIsIdempotentAndPostIsNot() {
    assertThat(AccessPolicy.authorize(SNAPSHOT, request("POST", "/a", "aa")).get().idempotent())
        .isFalse();
    assertThat(authorizeGet("/a", "aa").get().idempotent()).isTrue();
  }
}
