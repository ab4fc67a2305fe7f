package org.clementinepost.node.directory;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Try;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.Failure;
import org.clementinepost.api.FailureDomainId;
import org.clementinepost.api.Member;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.ServiceId;
import org.clementinepost.policy.host.Announcement;
import org.clementinepost.storage.rows.JsonFields;

/**
 * The row of one node in the nodes table, stored as JSON.
 *
 * @param member the node
 * @param endpoints the backend servers of this host that accept requests
 * @param relaysFeeds whether other nodes may follow tables of the store through this one
 */
record NodeRow(Member member, Vector<Endpoint> endpoints, boolean relaysFeeds) {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String INCARNATION = "incarnation";
  private static final String PEER = "peer";
  private static final String DOMAIN = "failureDomain";
  private static final String RELAYS_FEEDS = "relaysFeeds";
  private static final String SERVERS = "servers";
  private static final String SERVER_ID = "id";
  private static final String SERVICE = "service";
  private static final String SLOTS = "slots";

  String toJson() {
    ObjectNode root =
        MAPPER
            .createObjectNode()
            .put(INCARNATION, member.incarnation())
            .put(PEER, member.peerAddress().toString())
            .put(DOMAIN, member.domain().value())
            .put(RELAYS_FEEDS, relaysFeeds);
    ArrayNode servers = root.putArray(SERVERS);
    for (Endpoint endpoint : endpoints) {
      servers
          .addObject()
          .put(SERVER_ID, endpoint.server().value())
          .put(SERVICE, endpoint.service().value())
          .put(SLOTS, endpoint.slots());
    }
    return root.toString();
  }

  static Either<Failure, NodeRow> fromJson(String key, String json) {
    return Try.of(() -> row(new NodeId(key), MAPPER.readTree(json)))
        .toEither()
        .mapLeft(
            error ->
                Failure.of(
                    ResultCode.PLATFORM_PROTOCOL, key + ": " + String.valueOf(error.getMessage())));
  }

  private static NodeRow row(NodeId node, JsonNode root) {
    Member member =
        new Member(
            node,
            JsonFields.requireLong(root, INCARNATION),
            JsonFields.requireIpAddress(root, PEER),
            new FailureDomainId(JsonFields.requireText(root, DOMAIN)));
    return new NodeRow(
        member,
        Vector.ofAll(root.path(SERVERS)).map(server -> endpoint(member, server)),
        root.path(RELAYS_FEEDS).asBoolean());
  }

  private static Endpoint endpoint(Member member, JsonNode server) {
    return new Endpoint(
        new BackendServerId(JsonFields.requireText(server, SERVER_ID)),
        new ServiceId(JsonFields.requireText(server, SERVICE)),
        member.node(),
        member.domain(),
        JsonFields.requireIntBetween(server, SLOTS, 1, Announcement.MAX_SLOTS));
  }
}
