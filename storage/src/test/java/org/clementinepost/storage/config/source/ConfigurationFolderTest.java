package org.clementinepost.storage.config.source;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.config.ObjectKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests which files are read and which kind their objects have. */
final class ConfigurationFolderTest {
  @TempDir private Path folder;

  private void write(String file, String json) throws IOException {
    Path path = folder.resolve(file);
    Files.createDirectories(path.getParent());
    Files.writeString(path, json);
  }

  private ConfigurationFolder read() {
    return ConfigurationFolder.read(folder);
  }

  @Test
  void takesKindFromFolderForSingleObjectAndList() throws IOException {
    write("customers/a.json", "{\"name\":\"a\"}");
    write("customers/more/b.json", "[{\"name\":\"b\"},{\"name\":\"c\"}]");

    assertThat(read().findings()).isEmpty();
    assertThat(read().set().objects().map(object -> object.kind() + object.pointer()))
        .containsExactly("CUSTOMER", "CUSTOMER/0", "CUSTOMER/1");
  }

  @Test
  void takesKindFromField() throws IOException {
    write("all.json", "[{\"kind\":\"route\",\"name\":\"r\"}]");

    SourceObject route = read().set().objects().head();
    assertThat(route.kind()).isEqualTo(ObjectKind.ROUTE);
    assertThat(route.field("kind").isEmpty()).isTrue();
  }

  @Test
  void ignoresHiddenAndNonJsonFiles() throws IOException {
    write(".base.json", "{}");
    write(".git/x.json", "{}");
    write("README.md", "text");

    assertThat(read().findings()).isEmpty();
    assertThat(read().set().objects()).isEmpty();
  }

  @Test
  void reportsMalformedJsonAndReadsOtherFiles() throws IOException {
    write("customers/a.json", "{\"name\":");
    write("customers/b.json", "{\"name\":\"b\",\"name\":\"c\"}");
    write("customers/c.json", "{\"name\":\"c\"}");

    assertThat(read().findings().map(Finding::file))
        .containsExactly("customers/a.json", "customers/b.json");
    assertThat(read().findings().map(Finding::code))
        .containsOnly(ResultCode.CONFIGURATION_UNREADABLE);
    assertThat(read().set().objects()).hasSize(1);
  }

  @Test
  void reportsObjectWithoutKind() throws IOException {
    write("a.json", "{\"name\":\"a\"}");

    assertThat(read().findings().head().code()).isEqualTo(ResultCode.CONFIGURATION_MISSING_FIELD);
  }

  @Test
  void reportsUnknownOrMismatchedKind() throws IOException {
    write("a.json", "{\"kind\":\"zone\"}");
    write("customers/b.json", "[{\"kind\":\"route\"}]");

    assertThat(read().findings().map(finding -> finding.file() + finding.pointer()))
        .containsExactly("a.json/kind", "customers/b.json/0/kind");
  }

  @Test
  void reportsElementThatIsNotAnObject() throws IOException {
    write("customers/a.json", "[7]");

    assertThat(read().findings().head().pointer()).isEqualTo("/0");
  }

  @Test
  void missingFolderIsEmpty() {
    assertThat(ConfigurationFolder.read(folder.resolve("none")).set().objects()).isEmpty();
  }
}
