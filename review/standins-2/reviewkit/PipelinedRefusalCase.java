package reviewkit;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A tenant sends many times its usual; its clients send a second request before the first answer. */
public final class PipelinedRefusalCase extends Case {
  private static final int SLOTS = 6;
  private static final long WORK_MILLIS = 30;
  private static final int CLIENTS = 20;
  private static final String KEY = "key-of-t";
  private static final int QUOTA_PER_SECOND = 6;
  private static final int DEADLINE_MILLIS = 4_000;
  private static final int GRACE_MILLIS = 500;

  /** Each client sends one request with the key in this time: 5 a second from all of them. */
  private static final int USUAL_PERIOD_MILLIS = 4_000;

  /** The tenant's burst of traffic, x = 7.5 for 6.5 s. */
  private static final double FACTOR = 7.5;

  private static final long HOT_MILLIS = 6_500;
  private static final long USUAL_MILLIS = 10_000;

  /** The rule asks for eight requests at least that are unanswered at their time-out. */
  private static final int MIN_UNANSWERED = 8;

  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger refused = new AtomicInteger();
  private final AtomicInteger unansweredAtTimeout = new AtomicInteger();
  private final AtomicInteger unansweredLater = new AtomicInteger();
  private final AtomicInteger neverAnswered = new AtomicInteger();
  private volatile int periodMillis = USUAL_PERIOD_MILLIS;
  private volatile boolean stopped;

  public static void main(String[] arguments) throws Exception {
    new PipelinedRefusalCase().main(arguments[0]);
  }

  @Override
  protected boolean play() throws InterruptedException {
    store.put("op", "config",
        Configurations.limitedTenant("r1", "desk", KEY, QUOTA_PER_SECOND));
    Node node = startNode("first", "a", "desk", true);
    startBackend(node, "i-desk-1", "desk", "a", SLOTS, WORK_MILLIS).startHeartbeats();
    await("the server in the table of nodes", 30_000,
        () -> store.value("nodes", "first").contains("i-desk-1"));
    await("a quota leader", 30_000, () -> !store.value("quota", "seat").isEmpty());
    pause(2_000);
    int descriptorsBefore = node.descriptors();
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      int number = i;
      Thread client = new Thread(() -> runClient(node, number));
      client.start();
      clients.add(client);
    }
    pause(USUAL_MILLIS);
    if (trouble) {
      record.write("the tenant sends %.1f times its usual", FACTOR);
      periodMillis = (int) (USUAL_PERIOD_MILLIS / FACTOR);
      pause(HOT_MILLIS);
      periodMillis = USUAL_PERIOD_MILLIS;
      record.write("the tenant sends its usual again");
    }
    pause(USUAL_MILLIS);
    stopped = true;
    for (Thread client : clients) {
      client.join(USUAL_PERIOD_MILLIS + 2 * DEADLINE_MILLIS);
    }
    pause(1_000);
    record.report(
        "requests answered: %d, of these refused: %d; bookings unanswered at the time-out of their"
            + " route: %d, half a second later: %d, at their deadline: %d",
        answered.get(), refused.get(), unansweredAtTimeout.get(), unansweredLater.get(),
        neverAnswered.get());
    record.report(
        "all clients have closed their connections; descriptors of the node: %d, at first: %d",
        node.descriptors(), descriptorsBefore);
    boolean broken =
        unansweredAtTimeout.get() >= MIN_UNANSWERED
            && unansweredLater.get() * 2 > unansweredAtTimeout.get();
    return !broken;
  }

  private void runClient(Node node, int number) {
    int round = 0;
    pause((long) number * USUAL_PERIOD_MILLIS / CLIENTS);
    while (!stopped) {
      try (KeptConnection connection = new KeptConnection(node.ingress())) {
        while (!stopped) {
          round++;
          long startMillis = System.currentTimeMillis();
          String name = "client-" + number + "-" + round;
          if (!play(connection, name)) {
            break;
          }
          while (!stopped && System.currentTimeMillis() - startMillis < periodMillis) {
            pause(50);
          }
        }
      } catch (IOException e) {
        record.write("client %d: %s", number, e);
        pause(100);
      }
    }
  }

  /** Sends two safe requests at once, the second with the key, and a booking after both answers. */
  private boolean play(KeptConnection connection, String name) throws IOException {
    record.write("%s sends a and b at once", name);
    connection.send(
        KeptConnection.head("GET", "/read/desk/a", name + "-a", "", DEADLINE_MILLIS, 0)
            + KeptConnection.head("GET", "/own/desk/b", name + "-b", KEY, DEADLINE_MILLIS, 0));
    boolean keptOpen = receive(connection, name + "-a", DEADLINE_MILLIS);
    keptOpen &= receive(connection, name + "-b", DEADLINE_MILLIS);
    if (!keptOpen) {
      return false;
    }
    pause(50);
    record.write("%s sends its booking", name);
    connection.send(
        KeptConnection.head("POST", "/book/desk/c", name + "-c", "", DEADLINE_MILLIS, 4)
            + "body");
    return receiveBooking(connection, name + "-c");
  }

  private boolean receive(KeptConnection connection, String attempt, int timeoutMillis)
      throws IOException {
    Http.Response response = connection.read(timeoutMillis);
    record.write(
        "%s gets %d, Connection: %s",
        attempt, response.status(), response.header("connection"));
    answered.incrementAndGet();
    if (response.status() == 429) {
      refused.incrementAndGet();
    }
    return !response.header("connection").equalsIgnoreCase("close");
  }

  private boolean receiveBooking(KeptConnection connection, String attempt) throws IOException {
    try {
      return receive(connection, attempt, Configurations.SHORT_TIMEOUT_MILLIS);
    } catch (SocketTimeoutException e) {
      unansweredAtTimeout.incrementAndGet();
      record.write("%s has no answer at the time-out of its route", attempt);
    }
    try {
      return receive(connection, attempt, GRACE_MILLIS);
    } catch (SocketTimeoutException e) {
      unansweredLater.incrementAndGet();
    }
    try {
      return receive(
          connection,
          attempt,
          DEADLINE_MILLIS - GRACE_MILLIS - Configurations.SHORT_TIMEOUT_MILLIS);
    } catch (SocketTimeoutException e) {
      neverAnswered.incrementAndGet();
      record.write("%s has no answer at its deadline", attempt);
      return false;
    }
  }
}
