package org.clementinepost.node;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.methods;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaModifier;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import org.clementinepost.api.config.ApiKey;

/** Checks that tasks own their sockets and state, and communicate only by messages. */
@AnalyzeClasses(
    packages = "org.clementinepost.node",
    importOptions = ImportOption.DoNotIncludeTests.class)
final class ArchitectureTest {
  @ArchTest
  final ArchRule onlySocketOwningPackagesUseReactorNetty =
      noClasses()
          .that()
          .resideOutsideOfPackages(
              "..edge..", "..exchange..", "..peer..", "..announce..", "..operator..")
          .and()
          .doNotHaveSimpleName("NodeMain")
          .should()
          .dependOnClassesThat()
          .resideInAPackage("reactor.netty..");

  @ArchTest
  final ArchRule onlyPeerPackageDependsOnWireEncoding =
      noClasses()
          .that()
          .resideOutsideOfPackage("..peer..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("org.clementinepost.wire..", "org.msgpack..");

  @ArchTest
  final ArchRule noClassUsesLocks =
      noClasses().should().dependOnClassesThat().resideInAPackage("java.util.concurrent.locks..");

  @ArchTest
  final ArchRule noMethodIsSynchronized =
      methods().should().notHaveModifier(JavaModifier.SYNCHRONIZED);

  @ArchTest
  final ArchRule noClassCallsThreadSleep =
      noClasses().should().callMethod(Thread.class, "sleep", long.class);

  @ArchTest
  final ArchRule noClassStartsProcesses =
      noClasses()
          .should()
          .dependOnClassesThat()
          .haveFullyQualifiedName("java.lang.ProcessBuilder")
          .orShould()
          .dependOnClassesThat()
          .haveFullyQualifiedName("java.lang.Runtime.exec");

  @ArchTest
  final ArchRule onlyEdgeUsesApiKeyHash =
      noClasses()
          .that()
          .resideOutsideOfPackage("..edge..")
          .should()
          .dependOnClassesThat()
          .haveSimpleName("ApiKeyHash");

  @ArchTest
  final ArchRule onlyEdgeHashesKeys =
      noClasses()
          .that()
          .resideOutsideOfPackage("..edge..")
          .should()
          .callMethod(ApiKey.class, "hash", String.class);

  @ArchTest
  final ArchRule messageTypesAreInterfaces =
      classes().that().haveSimpleNameEndingWith("Message").should().beInterfaces();
}
