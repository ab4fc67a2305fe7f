package reviewkit;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/** Some clients of a busy service leave while their bookings, sent in chunks, wait for a slot. */
public final class EmptyBodyCase extends Case {
  private static final int SLOTS = 6;
  private static final long WORK_MILLIS = 500;

  /** The service can run 12 a second. */
  private static final int REQUESTS_PER_SECOND = 18;

  private static final int LOAD_SECONDS = 12;
  private static final int DEADLINE_MILLIS = 4_000;

  /** Clients leave within half of the target latency, which is 2 s. */
  private static final int MIN_PATIENCE_MILLIS = 50;

  private static final int MAX_PATIENCE_MILLIS = 1_000;
  private static final double LEAVING_SHARE = 0.3;
  private static final int LEAVING_FROM_SECOND = 4;
  private static final int LEAVING_TO_SECOND = 9;

  private final Map<String, String> sentBodies = new ConcurrentHashMap<>();
  private final AtomicInteger left = new AtomicInteger();
  private final ExecutorService clients = Executors.newCachedThreadPool();

  public static void main(String[] arguments) throws Exception {
    new EmptyBodyCase().main(arguments[0]);
  }

  @Override
  protected boolean play() {
    store.put("op", "config", Configurations.openRoutes("r1", List.of("office")));
    Node node = startNode("first", "a", "office");
    Backend office = startBackend(node, "i-office-1", "office", "a", SLOTS, WORK_MILLIS);
    office.startHeartbeats();
    await("the server in the table of nodes", 30_000,
        () -> store.value("nodes", "first").contains("i-office-1"));
    await("an answer", 20_000,
        () -> request(node, "GET", Configurations.HOST, "/read/office/x", 2_000).status() == 200);
    sendBookings(node);
    pause(DEADLINE_MILLIS + 1_000);
    int changed = 0;
    int bookings = 0;
    for (Backend.Run run : office.runs()) {
      String sent = sentBodies.get(run.attemptId());
      if (sent == null) {
        continue;
      }
      bookings++;
      if (!sent.equals(run.body())) {
        changed++;
        record.write(
            "%s ran with a body of %d bytes, sent were %d",
            run.attemptId(), run.body().length(), sent.length());
      }
    }
    record.report(
        "bookings sent: %d, clients that left: %d, bookings that ran: %d,"
            + " of these with another body than the client's: %d",
        sentBodies.size(), left.get(), bookings, changed);
    return changed == 0;
  }

  private void sendBookings(Node node) {
    Random random = new Random(1);
    for (int i = 0; i < LOAD_SECONDS * REQUESTS_PER_SECOND; i++) {
      int second = i / REQUESTS_PER_SECOND;
      boolean leaves =
          random.nextDouble() < LEAVING_SHARE
              && second >= LEAVING_FROM_SECOND
              && second < LEAVING_TO_SECOND;
      int patienceMillis =
          MIN_PATIENCE_MILLIS + random.nextInt(MAX_PATIENCE_MILLIS - MIN_PATIENCE_MILLIS);
      String attempt = "booking-" + i;
      clients.execute(
          () -> book(node, attempt, trouble && leaves ? patienceMillis : DEADLINE_MILLIS));
      pause(1_000 / REQUESTS_PER_SECOND);
    }
  }

  /** Sends a whole booking in one chunk, and closes the connection if no answer comes in time. */
  private void book(Node node, String attempt, int patienceMillis) {
    String body = "{\"what\":\"repair\",\"id\":\"" + attempt + "\"}";
    sentBodies.put(attempt, body);
    record.write(
        "client sends %s, body of %d bytes, waits for %d ms at most",
        attempt, body.length(), patienceMillis);
    try (KeptConnection connection = new KeptConnection(node.ingress())) {
      connection.send(
          KeptConnection.chunkedHead("POST", "/book/office/x", attempt, DEADLINE_MILLIS)
              + Integer.toHexString(body.length()) + "\r\n" + body + "\r\n0\r\n\r\n");
      Http.Response response = connection.read(patienceMillis);
      record.write("client gets %s %d", attempt, response.status());
    } catch (SocketTimeoutException e) {
      left.incrementAndGet();
      record.write("client of %s leaves", attempt);
    } catch (IOException e) {
      record.write("client of %s: %s", attempt, e);
    }
  }
}
