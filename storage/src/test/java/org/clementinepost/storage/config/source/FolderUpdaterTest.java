package org.clementinepost.storage.config.source;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.collection.Vector;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.CustomerId;
import org.clementinepost.api.config.Customer;
import org.clementinepost.api.config.Delta;
import org.clementinepost.api.config.Drain;
import org.clementinepost.api.config.Snapshot;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests updates of files with one object, several objects and objects of several kinds. */
final class FolderUpdaterTest {
  @TempDir private Path folder;

  private static Customer customer(String name, int burstRequests) {
    return new Customer(new CustomerId(name), 1, burstRequests, 1);
  }

  private void write(String file, String json) throws IOException {
    Path path = folder.resolve(file);
    Files.createDirectories(path.getParent());
    Files.writeString(path, json);
  }

  private Snapshot read() {
    return ConfigurationFolder.read(folder).set().toSnapshot();
  }

  private void apply(Snapshot after) {
    FolderUpdater.write(
        folder, ConfigurationFolder.read(folder).set(), Delta.between(read(), after));
  }

  @Test
  void changesOneObjectOfListAndKeepsOthers() throws IOException {
    write(
        "customers/all.json",
        "[{\"name\":\"a\",\"ratePerSecond\":1,\"burstRequests\":1},"
            + "{\"name\":\"b\",\"ratePerSecond\":1,\"burstRequests\":1}]");
    Snapshot after = read().with(customer("b", 9));

    apply(after);

    assertThat(read()).isEqualTo(after);
    assertThat(Files.readString(folder.resolve("customers/all.json"))).doesNotContain("kind");
  }

  @Test
  void keepsKindFieldOutsideKindFolders() throws IOException {
    write("all.json", "{\"kind\":\"drain\",\"server\":\"s1\"}");
    write(
        "more.json",
        "[{\"kind\":\"drain\",\"server\":\"s2\"},{\"kind\":\"drain\",\"server\":\"s3\"}]");
    Snapshot after = read().without(new Drain(new BackendServerId("s2")));

    apply(after);

    assertThat(read()).isEqualTo(after);
  }

  @Test
  void writesNewObjectWithoutOverwritingExistingFile() throws IOException {
    write("customers/b.json", "[{\"name\":\"a\",\"ratePerSecond\":1,\"burstRequests\":1}]");
    Snapshot after = read().with(customer("b", 2));

    apply(after);

    assertThat(read()).isEqualTo(after);
  }

  @Test
  void deletesFileWhenItsLastObjectIsRemoved() throws IOException {
    write("drains/s1.json", "{\"server\":\"s1\"}");

    apply(Snapshot.empty());

    assertThat(Vector.ofAll(Files.list(folder.resolve("drains")))).isEmpty();
  }
}
