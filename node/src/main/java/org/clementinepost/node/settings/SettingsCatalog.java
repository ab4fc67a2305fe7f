package org.clementinepost.node.settings;

import io.vavr.collection.Vector;
import org.clementinepost.node.settings.Setting.Kind;

/** Every setting of a node; the reader, the check and the documentation all follow this list. */
final class SettingsCatalog {
  static final Setting NODE_ID =
      Setting.required(
          "nodeId", Kind.TEXT, "The node's name, one of a kind in the fleet and kept at restarts.");
  static final Setting FAILURE_DOMAIN =
      Setting.required("failureDomain", Kind.TEXT, "The failure domain that the node runs in.");
  static final Setting INGRESS =
      Setting.required("ingress", Kind.ADDRESS, "Where callers' requests are taken.");
  static final Setting PEER =
      Setting.required(
          "peer", Kind.ADDRESS, "Where other nodes connect; it must be reachable from them.");
  static final Setting ANNOUNCE =
      Setting.required(
          "announce", Kind.ADDRESS, "Where the backend servers of this VM announce themselves.");
  static final Setting OPERATOR =
      Setting.required(
          "operator", Kind.ADDRESS, "Where operators read health, readiness, status and metrics.");
  static final Setting PLATFORM_EMBEDDED =
      Setting.optional(
          "platform.embedded",
          Kind.BOOLEAN,
          "false",
          "Whether the node keeps a platform of its own in memory; for a single node only.");
  static final Setting PLATFORM_OBJECTS_FOLDER =
      Setting.optional(
          "platform.objectsFolder",
          Kind.TEXT,
          "",
          "The folder of objects that a node with an embedded platform publishes at its start.");
  static final Setting PLATFORM_TABLE_URL =
      Setting.optional(
          "platform.tableUrl", Kind.URL, "", "The table service; needed unless embedded.");
  static final Setting PLATFORM_OBJECTS_URL =
      Setting.optional(
          "platform.objectsUrl", Kind.URL, "", "The object store; needed unless embedded.");
  static final Setting PLATFORM_TABLE_NAME =
      Setting.optional(
          "platform.tableName", Kind.TEXT, "clementinepost", "The table of the fleet's items.");
  static final Setting PLATFORM_BUCKET_NAME =
      Setting.optional(
          "platform.bucketName", Kind.TEXT, "clementinepost", "The bucket of the fleet's objects.");
  static final Setting PLATFORM_REQUEST_TIMEOUT =
      Setting.integer(
          "platform.requestTimeoutMillis",
          "ms",
          3_000,
          100,
          60_000,
          "How long one request to the platform may take.");
  static final Setting ROW_STORE_ADDRESS =
      Setting.optional(
          "rowStore.address",
          Kind.ADDRESS,
          "",
          "The metadata store of a platform with its own dialect, in place of table and objects.");
  static final Setting LOCAL_SERVICE =
      Setting.optional(
          "localService",
          Kind.TEXT,
          "",
          "The service that runs on this VM, by which backend servers know their callers.");
  static final Setting LOCAL_SERVER =
      Setting.optional(
          "localServer",
          Kind.ADDRESS,
          "",
          "The backend server of this VM, which is asked for its health when the node starts.");
  static final Setting KEY_WITHDRAWAL =
      Setting.integer(
          "keyWithdrawalMillis",
          "ms",
          0,
          0,
          600_000,
          "The time after which a withdrawn key opens nothing, also at a node cut off; 0 for any.");
  static final Setting QUOTA_TOLERATED_SHARE =
      Setting.optional(
          "quota.toleratedShare",
          Kind.FRACTION,
          "0",
          "The part of a customer's rate and burst that the fleet may exceed them by, 0 to 1.");
  static final Setting QUOTA_TOLERATED_REQUESTS =
      Setting.integer(
          "quota.toleratedRequests",
          "requests",
          0,
          0,
          1_000_000,
          "The requests that the fleet may exceed a customer's rate and burst by besides.");
  static final Setting QUOTA_WINDOW =
      Setting.integer(
          "quota.windowSeconds",
          "s",
          5,
          1,
          3_600,
          "The time over which a customer's requests are counted against its rate and burst.");
  static final Setting SHUTDOWN_DELAY =
      Setting.integer(
          "farewellMillis",
          "ms",
          300,
          0,
          60_000,
          "How long a stopping node goes on taking callers while they learn that it goes.");
  static final Setting CONNECTIONS_PER_SERVER =
      Setting.integer(
          "connectionsPerServer",
          "connections",
          350,
          1,
          10_000,
          "Connections that the node opens to one backend server at most.");
  static final Setting MAX_HEADER_BYTES =
      Setting.integer(
          "maxHeaderBytes",
          "bytes",
          16_384,
          1_024,
          1_048_576,
          "The size of a request's header fields; larger ones are refused.");
  static final Setting MAX_BODY_BYTES =
      Setting.integer(
          "maxBodyBytes",
          "bytes",
          1_073_741_824,
          1,
          1_099_511_627_776L,
          "The size of a request's body; a larger one is refused or cut off.");
  static final Setting IDLE_TIMEOUT =
      Setting.integer(
          "idleTimeoutMillis",
          "ms",
          60_000,
          1_000,
          3_600_000,
          "How long a caller's connection may rest between requests.");
  static final Setting READ_TIMEOUT =
      Setting.integer(
          "readTimeoutMillis",
          "ms",
          20_000,
          500,
          600_000,
          "How long a caller may send nothing while a request is being read.");
  static final Setting STOP_GRACE =
      Setting.decimal(
          "stopGraceSeconds",
          "s",
          30,
          1,
          3_600,
          "What the platform waits after SIGTERM before it kills the process.");

  private static final Vector<Setting> ALL =
      Vector.of(
          NODE_ID,
          FAILURE_DOMAIN,
          INGRESS,
          PEER,
          ANNOUNCE,
          OPERATOR,
          PLATFORM_EMBEDDED,
          PLATFORM_OBJECTS_FOLDER,
          PLATFORM_TABLE_URL,
          PLATFORM_OBJECTS_URL,
          PLATFORM_TABLE_NAME,
          PLATFORM_BUCKET_NAME,
          PLATFORM_REQUEST_TIMEOUT,
          ROW_STORE_ADDRESS,
          LOCAL_SERVICE,
          LOCAL_SERVER,
          KEY_WITHDRAWAL,
          QUOTA_TOLERATED_SHARE,
          QUOTA_TOLERATED_REQUESTS,
          QUOTA_WINDOW,
          SHUTDOWN_DELAY,
          CONNECTIONS_PER_SERVER,
          MAX_HEADER_BYTES,
          MAX_BODY_BYTES,
          IDLE_TIMEOUT,
          READ_TIMEOUT,
          STOP_GRACE);

  private SettingsCatalog() {}

  static Vector<Setting> all() {
    return ALL;
  }
}
