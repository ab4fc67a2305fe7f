package org.clementinepost.policy.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.Collections;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.HostReport;
import org.clementinepost.api.NodeId;
import org.junit.jupiter.api.Test;

final class IdleServerPolicyTest {
  private static final long TICK_INTERVAL_MILLIS = 200;
  private static final int OK = 200;
  private static final int ERROR = 500;

  private static final Vector<Endpoint> ENDPOINTS =
      Vector.range(0, 4)
          .map(i -> RoutingFixture.endpoint("a-" + i, "a"))
          .append(RoutingFixture.endpoint("b-0", "b"));

  private final Endpoint hosted = ENDPOINTS.head();
  private final Endpoint idle = ENDPOINTS.last();
  private final RoutingFixture node = new RoutingFixture(ENDPOINTS);

  private void serve(NodeId ingress, int status) {
    node.decide(
        new RoutingEvent.HostedRequestStarted(
            hosted.server(), RoutingFixture.SERVICE, ingress, node.nowNanos()));
    node.decide(
        new RoutingEvent.HostedRequestEnded(
            hosted.server(), Option.none(), status, 1_000, node.nowNanos(), report -> {}));
  }

  private static Vector<RoutingEffect.NotifyIngresses> notices(Vector<RoutingEffect> effects) {
    return effects
        .filter(effect -> effect instanceof RoutingEffect.NotifyIngresses)
        .map(effect -> (RoutingEffect.NotifyIngresses) effect);
  }

  private static NodeId ingress(int number) {
    return new NodeId("ingress-" + number);
  }

  /** Guards against healthy servers without requests where a service has few requests. */
  @Test
  void hostOfIdleServerNotifiesLatestIngressNodesFirst() {
    for (int i = 0; i < 6; i++) {
      serve(ingress(i), OK);
      node.pass(TICK_INTERVAL_MILLIS, TICK_INTERVAL_MILLIS);
    }
    Vector<RoutingEffect.NotifyIngresses> notices = notices(node.pass(600, TICK_INTERVAL_MILLIS));
    assertThat(notices).hasSize(2).allMatch(notice -> notice.report() == HostReport.IDLE);
    assertThat(notices.head().nodes())
        .containsExactlyInAnyOrder(ingress(5), ingress(4), ingress(3), ingress(2));
    assertThat(notices.last().nodes()).containsExactlyInAnyOrder(ingress(1), ingress(0));
  }

  @Test
  void serverThatStaysIdleStopsNotifying() {
    for (int i = 0; i < 40; i++) {
      serve(ingress(i), OK);
    }
    Set<NodeId> notified =
        notices(node.pass(5_000, TICK_INTERVAL_MILLIS))
            .flatMap(RoutingEffect.NotifyIngresses::nodes)
            .toSet();
    assertThat(notified).hasSize(16);
  }

  @Test
  void serverWhoseLastResponseWasErrorDoesNotNotify() {
    serve(ingress(0), OK);
    serve(ingress(1), ERROR);
    assertThat(notices(node.pass(2_000, TICK_INTERVAL_MILLIS))).isEmpty();
  }

  @Test
  void busyServerDoesNotNotify() {
    serve(ingress(0), OK);
    node.decide(
        new RoutingEvent.HostedRequestStarted(
            hosted.server(), RoutingFixture.SERVICE, ingress(1), node.nowNanos()));
    assertThat(notices(node.pass(2_000, TICK_INTERVAL_MILLIS))).isEmpty();
  }

  @Test
  void oneRequestGoesToIdleServerOfAnyDomain() {
    node.report(idle, HostReport.IDLE);
    assertThat(Collections.frequency(node.placeNonIdempotent(50), idle)).isEqualTo(1);
  }

  @Test
  void noticeExpires() {
    node.report(idle, HostReport.IDLE);
    node.pass(1_200, TICK_INTERVAL_MILLIS);
    assertThat(node.placeNonIdempotent(50)).doesNotContain(idle);
  }

  @Test
  void ejectedServerIsNotUsedAsIdle() {
    node.eject(idle);
    node.report(idle, HostReport.IDLE);
    assertThat(HashSet.ofAll(node.placeNonIdempotent(50))).doesNotContain(idle);
  }
}
