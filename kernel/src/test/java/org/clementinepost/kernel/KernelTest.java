package org.clementinepost.kernel;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import reactor.test.scheduler.VirtualTimeScheduler;

final class KernelTest {
  private static final ServiceName<String> FIRST = ServiceName.of("first", String.class);
  private static final ServiceName<String> SECOND = ServiceName.of("second", String.class);

  private final VirtualTimeScheduler scheduler = VirtualTimeScheduler.create();
  private final List<String> received = new ArrayList<>();

  private Kernel.Builder builder() {
    return Kernel.builder().scheduler(scheduler).clock(MonotonicClock.of(scheduler));
  }

  @Test
  void resolvesServiceStartedLaterByName() {
    Kernel kernel =
        builder()
            .service(
                new ServiceDefinition<>(
                    FIRST,
                    10,
                    context -> message -> context.registry().find(SECOND).send(message + "!")))
            .service(new ServiceDefinition<>(SECOND, 10, context -> received::add))
            .start();
    kernel.find(FIRST).send("hello");
    scheduler.advanceTime();
    assertThat(received).containsExactly("hello!");
  }

  @Test
  void returnsStoppedForUnknownServiceName() {
    Kernel kernel = builder().start();
    assertThat(kernel.find(FIRST).send("hello")).isEqualTo(Delivery.STOPPED);
  }

  @Test
  void rejectsTwoServicesWithSameName() {
    ServiceDefinition<String> definition =
        new ServiceDefinition<>(FIRST, 10, context -> received::add);
    assertThatThrownBy(() -> builder().service(definition).service(definition).start())
        .isInstanceOf(IllegalArgumentException.class)
        .hasMessageContaining("first");
  }

  @Test
  void stopsServicesInReverseOrderOfStart() {
    Kernel kernel = builder().service(recordingStop(FIRST)).service(recordingStop(SECOND)).start();
    kernel.dispose();
    scheduler.advanceTime();
    assertThat(received).containsExactly("second", "first");
  }

  @Test
  void stopsSpawnedTaskOnItsOwn() {
    List<SpawnedTask<String>> spawned = new ArrayList<>();
    builder()
        .service(
            new ServiceDefinition<>(
                FIRST,
                10,
                context -> {
                  spawned.add(
                      context
                          .spawner()
                          .spawn(new ServiceDefinition<>(SECOND, 10, child -> received::add)));
                  return message -> {};
                }))
        .start();
    spawned.get(0).address().send("child");
    scheduler.advanceTime();
    assertThat(received).containsExactly("child");
    spawned.get(0).stop().dispose();
    assertThat(spawned.get(0).address().send("late")).isEqualTo(Delivery.STOPPED);
  }

  private ServiceDefinition<String> recordingStop(ServiceName<String> name) {
    return new ServiceDefinition<>(name, 10, context -> new StopRecorder(name.text()));
  }

  private final class StopRecorder implements Behaviour<String> {
    private final String name;

    private StopRecorder(String name) {
      this.name = name;
    }

    @Override
    public void receive(String message) {
      received.add(message);
    }

    @Override
    public void stop() {
      received.add(name);
    }
  }
}
