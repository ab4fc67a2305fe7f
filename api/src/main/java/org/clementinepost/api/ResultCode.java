package org.clementinepost.api;

import java.util.Arrays;
import java.util.Optional;

/**
 * The result codes that callers, operators and logs see.
 *
 * <p>Numbers are never reused. Codes are grouped by their thousands; each group has a documentation
 * page that describes the problem and its fix.
 */
public enum ResultCode {
  OK(0, 200, 0, RunState.RAN, "Done"),

  BAD_REQUEST(1001, 400, 10, RunState.NOT_RUN, "The request cannot be read"),
  HEADERS_TOO_LARGE(1002, 431, 10, RunState.NOT_RUN, "The request's headers are too large"),
  BODY_TOO_LARGE(1003, 413, 10, RunState.NOT_RUN, "The request's body is too large"),
  REQUEST_TIMED_OUT(1004, 408, 10, RunState.NOT_RUN, "The caller sent too slowly"),
  DEADLINE_PASSED(1005, 503, 10, RunState.NOT_RUN, "The deadline passed before the request ran"),
  TRANSFER_CODING_UNKNOWN(
      1006, 501, 10, RunState.NOT_RUN, "The body's transfer coding is not known"),
  REQUEST_BROKEN_OFF(
      1007, 400, 10, RunState.UNKNOWN, "The caller's connection ended before the request did"),
  KEY_MISSING(1101, 401, 11, RunState.NOT_RUN, "The route asks for a key and none came"),
  KEY_UNKNOWN(1102, 401, 11, RunState.NOT_RUN, "The key is unknown or withdrawn"),
  CUSTOMER_NOT_ALLOWED(1103, 403, 11, RunState.NOT_RUN, "The route is closed to this customer"),

  NO_ROUTE(2001, 404, 20, RunState.NOT_RUN, "No route matches the request"),
  NO_BACKEND_SERVER(2002, 503, 20, RunState.NOT_RUN, "No backend server can take the request"),
  RETRIES_EXHAUSTED(2003, 503, 20, RunState.NOT_RUN, "Every place tried refused the request"),
  RETRY_BUDGET_SPENT(2004, 503, 20, RunState.NOT_RUN, "The service's retry budget is spent"),
  CONFIGURATION_UNCONFIRMED(
      2005, 503, 20, RunState.NOT_RUN, "The node is cut off and cannot confirm its configuration"),

  HOST_QUEUE_FULL(3001, 503, 30, RunState.NOT_RUN, "The host's queue for the service is full"),
  HOST_QUEUE_TIMEOUT(3002, 503, 30, RunState.NOT_RUN, "No slot came free before the deadline"),
  BACKEND_SERVER_DRAINING(3003, 503, 30, RunState.NOT_RUN, "The backend server is departing"),
  FAILURE_DOMAIN_OUT(3004, 503, 30, RunState.NOT_RUN, "The failure domain has been taken out"),
  BACKEND_SERVER_SHED(3005, 503, 30, RunState.NOT_RUN, "The backend server shed the request"),
  DUPLICATE_ATTEMPT(3006, 409, 30, RunState.NOT_RUN, "This attempt has already been admitted"),
  IDEMPOTENCY_KEY_IN_USE(
      3007, 409, 30, RunState.NOT_RUN, "A request with this idempotency key has been started"),
  BACKEND_CONNECT_FAILED(3008, 503, 30, RunState.NOT_RUN, "No connection to the backend server"),
  BACKEND_SERVER_FAILING(
      3009, 503, 30, RunState.NOT_RUN, "The host holds back a backend server that fails"),
  BACKEND_SERVER_UNPROVEN(
      3010, 503, 30, RunState.NOT_RUN, "The backend server has answered nothing of late"),
  BACKEND_SERVER_UNKNOWN(
      3011, 503, 30, RunState.NOT_RUN, "The host has not heard of the backend server yet"),
  BACKEND_ANSWER_LOST(3101, 502, 31, RunState.UNKNOWN, "The backend server's answer was lost"),
  BACKEND_TIMED_OUT(3102, 504, 31, RunState.UNKNOWN, "No answer came before the deadline"),

  QUOTA_EXCEEDED(4001, 429, 40, RunState.NOT_RUN, "The customer is over its rate and burst"),
  QUOTA_UNAVAILABLE(4002, 429, 40, RunState.NOT_RUN, "No share of the customer's rate at hand"),

  CONFIGURATION_UNREADABLE(5001, 500, 50, RunState.NOT_RUN, "A configuration file is not JSON"),
  CONFIGURATION_UNKNOWN_FIELD(5002, 500, 50, RunState.NOT_RUN, "A field is not known"),
  CONFIGURATION_MISSING_FIELD(5003, 500, 50, RunState.NOT_RUN, "A required field is missing"),
  CONFIGURATION_BAD_VALUE(5004, 500, 50, RunState.NOT_RUN, "A value is out of its bounds"),
  CONFIGURATION_DUPLICATE_NAME(5005, 500, 50, RunState.NOT_RUN, "Two objects share a name"),
  CONFIGURATION_BROKEN_REFERENCE(5006, 500, 50, RunState.NOT_RUN, "A named object is missing"),
  CONFIGURATION_CYCLE(5007, 500, 50, RunState.NOT_RUN, "Objects refer to one another in a ring"),
  CONFIGURATION_FLOOR_UNREACHABLE(5008, 500, 50, RunState.NOT_RUN, "A floor cannot be met"),
  CONFIGURATION_AMBIGUOUS_ROUTE(5009, 500, 50, RunState.NOT_RUN, "Two routes match the same"),
  CONFIGURATION_NOTHING_FOUND(5010, 500, 50, RunState.NOT_RUN, "The folder holds no objects"),
  PUBLISH_CONFLICT(5101, 409, 51, RunState.NOT_RUN, "Another operator has published since"),
  PUBLISH_UNCERTAIN(5102, 500, 51, RunState.UNKNOWN, "The publish may have taken effect"),
  NO_SUCH_OBJECT(5103, 404, 51, RunState.NOT_RUN, "The configuration has no such object"),
  CONFIGURATION_STALE(5104, 500, 51, RunState.NOT_RUN, "A version older than the one in force"),

  PLATFORM_UNAVAILABLE(6001, 503, 60, RunState.UNKNOWN, "The platform does not answer"),
  PLATFORM_CONDITION_FAILED(6002, 409, 60, RunState.NOT_RUN, "A conditional write was refused"),
  PLATFORM_NOT_FOUND(6003, 404, 60, RunState.NOT_RUN, "The platform has no such item"),
  PLATFORM_PROTOCOL(6004, 502, 60, RunState.UNKNOWN, "The platform's answer makes no sense"),
  PLATFORM_THROTTLED(6005, 503, 60, RunState.NOT_RUN, "The platform refuses the load"),
  PLATFORM_HISTORY_LOST(6006, 410, 60, RunState.NOT_RUN, "The platform has dropped its history"),

  PEER_UNREACHABLE(7001, 503, 70, RunState.NOT_RUN, "No connection to the peer node"),
  PEER_PROTOCOL(
      7002, 502, 70, RunState.UNKNOWN, "The peer node sent a message that makes no sense"),
  PEER_LOST(7003, 502, 70, RunState.UNKNOWN, "The connection to the peer node broke"),
  PEER_INCARNATION(7004, 503, 70, RunState.NOT_RUN, "The peer node has restarted meanwhile"),
  NODE_OVERLOADED(7005, 503, 70, RunState.NOT_RUN, "A part of the node has a full mailbox"),
  NODE_STOPPING(7006, 503, 70, RunState.NOT_RUN, "The node is stopping"),

  SETTINGS_UNREADABLE(8001, 500, 80, RunState.NOT_RUN, "The settings file cannot be read"),
  SETTING_UNKNOWN(8002, 500, 80, RunState.NOT_RUN, "A setting is not known"),
  SETTING_MISSING(8003, 500, 80, RunState.NOT_RUN, "A required setting is missing"),
  SETTING_OUT_OF_BOUNDS(8004, 500, 80, RunState.NOT_RUN, "A setting is out of its bounds"),
  USAGE(8005, 500, 81, RunState.NOT_RUN, "The command line cannot be understood"),
  PORT_UNAVAILABLE(8006, 500, 80, RunState.NOT_RUN, "A port cannot be listened on"),
  ANNOUNCEMENT_INVALID(
      8101, 400, 82, RunState.NOT_RUN, "A backend server's announcement is invalid"),
  INTERNAL(9001, 500, 90, RunState.UNKNOWN, "A fault in the node itself"),
  TASK_STALLED(9002, 500, 91, RunState.UNKNOWN, "A part of the node processes no messages");

  private final int number;
  private final int httpStatus;
  private final int exitCode;
  private final RunState runState;
  private final String title;

  ResultCode(int number, int httpStatus, int exitCode, RunState runState, String title) {
    this.number = number;
    this.httpStatus = httpStatus;
    this.exitCode = exitCode;
    this.runState = runState;
    this.title = title;
  }

  /** Returns the number, which never changes. */
  public int number() {
    return number;
  }

  /** Returns the HTTP status of responses with this code. */
  public int httpStatus() {
    return httpStatus;
  }

  /** Returns the exit code of commands that end with this code. */
  public int exitCode() {
    return exitCode;
  }

  /** Returns whether a request that ends with this code ran on a backend server. */
  public RunState runState() {
    return runState;
  }

  /** Returns a one-line description. */
  public String title() {
    return title;
  }

  /** Returns the code with the given number. */
  public static Optional<ResultCode> ofNumber(int number) {
    return Arrays.stream(values()).filter(code -> code.number == number).findFirst();
  }
}
