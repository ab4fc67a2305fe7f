package org.clementinepost.node.settings;

import io.vavr.collection.Vector;
import org.clementinepost.node.settings.Setting.Kind;

/** All settings of a node; the reader, the validation and the reference page use this list. */
final class SettingsCatalog {
  static final Setting NODE_ID =
      Setting.required(
          "nodeId",
          Kind.TEXT,
          "The node's name, unique in the fleet and the same after a restart.");
  static final Setting FAILURE_DOMAIN =
      Setting.required("failureDomain", Kind.TEXT, "The failure domain that the node runs in.");
  static final Setting INGRESS =
      Setting.required(
          "ingress", Kind.ADDRESS, "The address at which the node accepts callers' requests.");
  static final Setting PEER =
      Setting.required(
          "peer",
          Kind.ADDRESS,
          "The address to which other nodes connect; it must be reachable from them.");
  static final Setting ANNOUNCE =
      Setting.required(
          "announce",
          Kind.ADDRESS,
          "The address at which the backend servers of this VM announce themselves.");
  static final Setting OPERATOR =
      Setting.required(
          "operator",
          Kind.ADDRESS,
          "The address at which operators read health, readiness, status and metrics.");
  static final Setting PLATFORM_EMBEDDED =
      Setting.optional(
          "platform.embedded",
          Kind.BOOLEAN,
          "false",
          "Whether the node uses its own in-memory platform; for a single node only.");
  static final Setting PLATFORM_OBJECTS_FOLDER =
      Setting.optional(
          "platform.objectsFolder",
          Kind.TEXT,
          "",
          "The folder of configuration objects that an embedded platform starts with.");
  static final Setting PLATFORM_TABLE_URL =
      Setting.optional(
          "platform.tableUrl",
          Kind.URL,
          "",
          "The URL of the table service; required without embedded platform or row store.");
  static final Setting PLATFORM_OBJECTS_URL =
      Setting.optional(
          "platform.objectsUrl",
          Kind.URL,
          "",
          "The URL of the object store; required without embedded platform or row store.");
  static final Setting PLATFORM_TABLE_NAME =
      Setting.optional(
          "platform.tableName",
          Kind.TEXT,
          "clementinepost",
          "The table that holds the fleet's items.");
  static final Setting PLATFORM_BUCKET_NAME =
      Setting.optional(
          "platform.bucketName",
          Kind.TEXT,
          "clementinepost",
          "The bucket that holds the fleet's objects.");
  static final Setting PLATFORM_REQUEST_TIMEOUT =
      Setting.integer(
          "platform.requestTimeoutMillis",
          "ms",
          3_000,
          100,
          60_000,
          "The timeout of one request to the platform.");
  static final Setting ROW_STORE_ADDRESS =
      Setting.optional(
          "rowStore.address",
          Kind.ADDRESS,
          "",
          "The row store, on platforms that have one in place of table and object store.");
  static final Setting LOCAL_SERVICE =
      Setting.optional(
          "localService",
          Kind.TEXT,
          "",
          "The service that runs on this VM, named to backend servers as the calling service.");
  static final Setting LOCAL_SERVER =
      Setting.optional(
          "localServer",
          Kind.ADDRESS,
          "",
          "The backend server on this VM, whose health is checked when the node starts.");
  static final Setting KEY_WITHDRAWAL =
      Setting.integer(
          "keyWithdrawalMillis",
          "ms",
          0,
          0,
          600_000,
          "The time until each node rejects a withdrawn key, even if cut off; 0 for no limit.");
  static final Setting QUOTA_TOLERATED_SHARE =
      Setting.optional(
          "quota.toleratedShare",
          Kind.FRACTION,
          "0",
          "The fraction by which the fleet may exceed a customer's rate and burst, 0 to 1.");
  static final Setting QUOTA_TOLERATED_REQUESTS =
      Setting.integer(
          "quota.toleratedRequests",
          "requests",
          0,
          0,
          1_000_000,
          "The requests beyond a customer's rate and burst that are tolerated in addition.");
  static final Setting QUOTA_WINDOW =
      Setting.integer(
          "quota.windowSeconds",
          "s",
          5,
          1,
          3_600,
          "The time window for counting a customer's requests against its rate and burst.");
  static final Setting RETRY_FRACTION =
      Setting.optional(
          "retries.fraction",
          Kind.FRACTION,
          "0.15",
          "The fraction of the requests to a service that the fleet may send again, 0 to 1.");
  static final Setting RETRY_BURST =
      Setting.decimal(
          "retries.burst",
          "requests",
          60,
          0,
          1_000_000,
          "The retries to a service that the fleet may send in addition, within a few seconds.");
  static final Setting SHUTDOWN_DELAY =
      Setting.integer(
          "farewellMillis",
          "ms",
          300,
          0,
          60_000,
          "How long a stopping node still accepts requests while callers learn of the stop.");
  static final Setting CONNECTIONS_PER_SERVER =
      Setting.integer(
          "connectionsPerServer",
          "connections",
          350,
          1,
          10_000,
          "The maximum number of connections from the node to one backend server.");
  static final Setting MAX_HEADER_BYTES =
      Setting.integer(
          "maxHeaderBytes",
          "bytes",
          16_384,
          1_024,
          1_048_576,
          "The maximum size of a request's header fields; larger ones are rejected.");
  static final Setting MAX_BODY_BYTES =
      Setting.integer(
          "maxBodyBytes",
          "bytes",
          1_073_741_824,
          1,
          1_099_511_627_776L,
          "The maximum size of a request's body; a larger one is rejected or cut off.");
  static final Setting IDLE_TIMEOUT =
      Setting.integer(
          "idleTimeoutMillis",
          "ms",
          60_000,
          1_000,
          3_600_000,
          "How long a caller's connection may be idle between requests.");
  static final Setting READ_TIMEOUT =
      Setting.integer(
          "readTimeoutMillis",
          "ms",
          20_000,
          500,
          600_000,
          "How long a caller may send nothing while its request is being read.");
  static final Setting STOP_GRACE =
      Setting.decimal(
          "stopGraceSeconds",
          "s",
          30,
          1,
          3_600,
          "How long the platform waits after SIGTERM before it kills the process.");
  static final Setting LOAD_QUERIES =
      Setting.optional(
          "load.queries",
          Kind.BOOLEAN,
          "false",
          "Whether the node asks hosts for their load before it places a request.");
  static final Setting LOAD_FAIR_QUEUE =
      Setting.optional(
          "load.fairQueue",
          Kind.BOOLEAN,
          "false",
          "Whether the node's queue gives each customer its fair share and serves late requests.");
  static final Setting LOAD_SECOND_ATTEMPTS =
      Setting.optional(
          "load.secondAttempts",
          Kind.BOOLEAN,
          "false",
          "Whether slow requests get a second attempt, and slowness is judged by kind of request.");
  static final Setting LOAD_PIPELINED_REQUESTS =
      Setting.integer(
          "load.maxPipelinedRequests",
          "requests",
          1,
          1,
          64,
          "The requests of one connection that are processed at the same time.");

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
          RETRY_FRACTION,
          RETRY_BURST,
          SHUTDOWN_DELAY,
          CONNECTIONS_PER_SERVER,
          MAX_HEADER_BYTES,
          MAX_BODY_BYTES,
          IDLE_TIMEOUT,
          READ_TIMEOUT,
          STOP_GRACE,
          LOAD_QUERIES,
          LOAD_FAIR_QUEUE,
          LOAD_SECOND_ATTEMPTS,
          LOAD_PIPELINED_REQUESTS);

  private SettingsCatalog() {}

  static Vector<Setting> all() {
    return ALL;
  }
}
