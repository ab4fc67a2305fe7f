package org.clementinepost.policy.membership;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import org.clementinepost.api.NodeId;
import org.junit.jupiter.api.Test;

/** Checks the successors, predecessors and fingers of nodes on the ring. */
class HashRingTest {
  private static HashRing of(int count) {
    return Vector.range(0, count)
        .map(FleetSimulation::node)
        .foldLeft(HashRing.empty(), HashRing::with);
  }

  @Test
  void successorsAndPredecessorsAreInverse() {
    HashRing ring = of(100);
    NodeId node = FleetSimulation.node(17);
    NodeId next = ring.successors(node, 1).head();
    assertThat(ring.predecessors(next, 1)).containsExactly(node);
    assertThat(ring.successors(node, 99)).doesNotContain(node).doesNotHaveDuplicates();
  }

  @Test
  void findsNeighboursOfNodeThatIsNotOnTheRing() {
    HashRing ring = of(50);
    NodeId node = FleetSimulation.node(20);
    HashRing without = ring.without(node);
    assertThat(without.successors(node, 5)).isEqualTo(ring.successors(node, 5));
    assertThat(without.predecessors(node, 5)).isEqualTo(ring.predecessors(node, 5));
  }

  @Test
  void smallRingsReturnNoUnknownNodesAndNotTheNodeItself() {
    assertThat(of(1).successors(FleetSimulation.node(0), 3)).isEmpty();
    assertThat(of(1).fingers(FleetSimulation.node(0), 5, 2)).isEmpty();
    assertThat(of(2).successors(FleetSimulation.node(0), 3))
        .containsExactly(FleetSimulation.node(1));
    assertThat(HashRing.empty().fingers(FleetSimulation.node(0), 5, 2)).isEmpty();
  }

  @Test
  void joinChangesFewFingers() {
    HashRing before = of(1_000);
    HashRing after = before.with(new NodeId("newcomer"));
    int changed = 0;
    for (NodeId node : before.nodes()) {
      Set<NodeId> fingers = before.fingers(node, 5, 2);
      changed += fingers.equals(after.fingers(node, 5, 2)) ? 0 : 1;
    }
    assertThat(changed).isLessThan(30);
  }

  @Test
  void linksReachEveryNode() {
    HashRing ring = of(400);
    Vector<NodeId> reached = Vector.of(FleetSimulation.node(0));
    Vector<NodeId> frontier = reached;
    int hops = 0;
    while (!frontier.isEmpty()) {
      frontier =
          frontier.flatMap(node -> OverlayPolicy.links(ring, node)).distinct().removeAll(reached);
      reached = reached.appendAll(frontier);
      hops++;
    }
    assertThat(reached).hasSize(400);
    assertThat(hops).isLessThan(14);
  }
}
