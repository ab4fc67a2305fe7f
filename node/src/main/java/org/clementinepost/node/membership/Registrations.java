package org.clementinepost.node.membership;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.vavr.control.Try;
import java.util.function.LongSupplier;
import org.clementinepost.api.Failure;
import org.clementinepost.api.FailureDomainId;
import org.clementinepost.api.Member;
import org.clementinepost.api.NetworkAddress;
import org.clementinepost.api.NodeId;
import org.clementinepost.policy.membership.StableHash;
import org.clementinepost.storage.Item;
import org.clementinepost.storage.ItemCondition;
import org.clementinepost.storage.ItemKey;
import org.clementinepost.storage.ItemWrite;
import org.clementinepost.storage.TableService;
import reactor.core.publisher.Mono;

/**
 * Reads and writes the registrations of nodes in the platform's table.
 *
 * <p>Registrations are sorted by a hash of the node's name, so that a few consecutive ones from a
 * random position are a random sample of the nodes. A registration that has not been renewed within
 * its lifetime is ignored.
 */
final class Registrations {
  private static final String PARTITION = "nodes";
  private static final int SAMPLE_ITEMS = 16;
  private static final long REGISTRATION_LIFETIME_MILLIS = 1_800_000;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final TableService table;
  private final LongSupplier epochMillisClock;

  Registrations(TableService table, LongSupplier epochMillisClock) {
    this.table = table;
    this.epochMillisClock = epochMillisClock;
  }

  /** Writes or renews the registration of a node, and returns whether this succeeded. */
  Mono<Boolean> register(Member member) {
    Item item = new Item(key(member.node()), member.incarnation(), toJson(member));
    return write(new ItemWrite(item.key(), new ItemCondition.Always(), Option.some(item)));
  }

  /** Removes the registration of a node, unless a later incarnation has renewed it. */
  Mono<Boolean> remove(Member member) {
    return write(
        new ItemWrite(
            key(member.node()), new ItemCondition.AtVersion(member.incarnation()), Option.none()));
  }

  private Mono<Boolean> write(ItemWrite write) {
    return table.write(Vector.of(write)).map(Either::isRight);
  }

  /**
   * Reads a few registrations after a position, and continues from the first one if the table ends
   * before enough have been read.
   */
  Mono<Vector<Member>> sample(long startPosition) {
    Option<String> after = Option.some(hex(startPosition));
    return query(after)
        .flatMap(
            found ->
                found.size() == SAMPLE_ITEMS
                    ? Mono.just(found)
                    : query(Option.none()).map(start -> found.appendAll(start).distinct()))
        .map(items -> items.flatMap(this::parseMember));
  }

  private Mono<Vector<Item>> query(Option<String> after) {
    return table
        .query(PARTITION, after, SAMPLE_ITEMS)
        .map(
            items -> items.<Vector<Item>>fold((Failure failure) -> Vector.empty(), found -> found));
  }

  private static ItemKey key(NodeId node) {
    return new ItemKey(PARTITION, hex(StableHash.of(node.value())) + "-" + node);
  }

  private static String hex(long hash) {
    return String.format("%016x", hash);
  }

  private String toJson(Member member) {
    return MAPPER
        .createObjectNode()
        .put("node", member.node().value())
        .put("address", member.peerAddress().toString())
        .put("failureDomain", member.domain().value())
        .put("registeredEpochMillis", epochMillisClock.getAsLong())
        .toString();
  }

  private Option<Member> parseMember(Item item) {
    return Try.of(() -> MAPPER.readTree(item.body()))
        .toOption()
        .filter(this::isFresh)
        .flatMap(body -> Try.of(() -> member(item, body)).toOption());
  }

  private boolean isFresh(JsonNode body) {
    return epochMillisClock.getAsLong() - body.path("registeredEpochMillis").asLong()
        < REGISTRATION_LIFETIME_MILLIS;
  }

  private static Member member(Item item, JsonNode body) {
    return new Member(
        new NodeId(body.path("node").asText()),
        item.version(),
        NetworkAddress.parse(body.path("address").asText()),
        new FailureDomainId(body.path("failureDomain").asText()));
  }
}
