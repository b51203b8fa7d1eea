package org.borageproxy;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

/** Holds the package map of {@code docs/ARCHITECTURE.md}. */
@AnalyzeClasses(packages = "org.borageproxy", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {

    private static final String ROOT = "org.borageproxy";

    @ArchTest
    static final ArchRule BASIC_PACKAGES_DEPEND_ON_NOTHING_ELSE = classes()
            .that()
            .resideInAnyPackage(ROOT + ".vm", ROOT + ".time", ROOT + ".result")
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage("java..", ROOT + ".vm", ROOT + ".time", ROOT + ".result");

    @ArchTest
    static final ArchRule DECISIONS_ARE_FREE_OF_INPUT_AND_OUTPUT = noClasses()
            .that()
            .resideInAnyPackage(ROOT + ".tree", ROOT + ".routing", ROOT + ".key", ROOT + ".lease", ROOT + ".admission")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("io.vertx..", "io.netty..", "java.net..", "java.nio.file..");

    @ArchTest
    static final ArchRule ONLY_COMMANDS_AND_THE_SERVER_KNOW_THE_STAND_INS = noClasses()
            .that()
            .resideOutsideOfPackages(
                    ROOT + ".standin..",
                    ROOT + ".server..",
                    ROOT + ".command..",
                    ROOT + ".experiment..",
                    ROOT + ".bench..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage(ROOT + ".standin..");

    @ArchTest
    static final ArchRule ONLY_COMMANDS_KNOW_THE_PLATFORM = noClasses()
            .that()
            .resideOutsideOfPackages(ROOT + ".platform..", ROOT + ".command..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage(ROOT + ".platform..");

    @ArchTest
    static final ArchRule THE_PRODUCT_STARTS_NO_PROCESS =
            noClasses().should().dependOnClassesThat().haveFullyQualifiedName("java.lang.ProcessBuilder");

    @ArchTest
    static final ArchRule NOTHING_OF_A_LIBRARY_FOR_CLUSTERING_IS_USED = noClasses()
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "io.vertx.core.spi.cluster..", "io.vertx.core.eventbus..", "io.vertx.core.shareddata..");
}
