package org.clementinepost.node.membership;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.vavr.control.Try;
import org.clementinepost.api.Failure;
import org.clementinepost.api.FailureDomainId;
import org.clementinepost.api.Member;
import org.clementinepost.api.NetworkAddress;
import org.clementinepost.api.NodeId;
import org.clementinepost.platform.Item;
import org.clementinepost.platform.ItemCondition;
import org.clementinepost.platform.ItemKey;
import org.clementinepost.platform.ItemWrite;
import org.clementinepost.platform.TableService;
import reactor.core.publisher.Mono;

/** The nodes' registrations in the table. */
final class MemberTable {
  private static final String PARTITION = "nodes";
  private static final int MAX_MEMBERS = 1_000;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final TableService table;
  private volatile boolean registered;

  MemberTable(TableService table) {
    this.table = table;
  }

  /** Registers a node once, and lists the registered nodes. */
  Mono<Either<Failure, Vector<Member>>> registerAndList(Member self) {
    if (registered) {
      return list();
    }
    return register(self)
        .flatMap(
            written -> {
              registered = written.isRight();
              return written.isRight() ? list() : Mono.just(Either.left(written.getLeft()));
            });
  }

  private Mono<Either<Failure, Vector<ItemWrite>>> register(Member self) {
    ItemKey key = new ItemKey(PARTITION, self.node().value());
    Item item = new Item(key, self.incarnation(), write(self));
    return table.write(
        Vector.of(new ItemWrite(key, new ItemCondition.Always(), Option.some(item))));
  }

  private Mono<Either<Failure, Vector<Member>>> list() {
    return table
        .query(PARTITION, Option.none(), MAX_MEMBERS)
        .map(items -> items.map(all -> all.flatMap(MemberTable::read)));
  }

  private static String write(Member member) {
    return MAPPER
        .createObjectNode()
        .put("address", member.peerAddress().toString())
        .put("failureDomain", member.domain().value())
        .toString();
  }

  private static Option<Member> read(Item item) {
    return Try.of(() -> MAPPER.readTree(item.body())).map(node -> member(item, node)).toOption();
  }

  private static Member member(Item item, JsonNode node) {
    return new Member(
        new NodeId(item.key().sort()),
        item.version(),
        NetworkAddress.parse(node.path("address").asText()),
        new FailureDomainId(node.path("failureDomain").asText()));
  }
}
