package org.borageproxy.wire;

import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import com.google.protobuf.DescriptorProtos.DescriptorProto;
import com.google.protobuf.DescriptorProtos.EnumDescriptorProto;
import com.google.protobuf.DescriptorProtos.EnumValueDescriptorProto;
import com.google.protobuf.DescriptorProtos.FieldDescriptorProto;
import com.google.protobuf.DescriptorProtos.FileDescriptorProto;
import com.google.protobuf.DescriptorProtos.FileDescriptorSet;
import com.google.protobuf.Descriptors.FileDescriptor;
import org.borageproxy.wire.proto.ControlProtocol;
import org.borageproxy.wire.proto.CoordinationProtocol;
import org.borageproxy.wire.proto.EventProtocol;
import org.borageproxy.wire.proto.FrameProtocol;
import org.borageproxy.wire.proto.LogProtocol;
import org.borageproxy.wire.proto.MembersProtocol;
import org.borageproxy.wire.proto.MembershipProtocol;
import org.borageproxy.wire.proto.PlacementProtocol;
import org.borageproxy.wire.proto.QuotaProtocol;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

/**
 * Guards against messages and stored records that VMs of an earlier release and of this one read differently during a
 * rolling upgrade. The message types of earlier releases are recorded as descriptor sets under the commit that they
 * were generated at.
 */
class MessageCompatibilityTest {

    private static final List<FileDescriptor> CURRENT = List.of(
            ControlProtocol.getDescriptor(),
            CoordinationProtocol.getDescriptor(),
            EventProtocol.getDescriptor(),
            FrameProtocol.getDescriptor(),
            LogProtocol.getDescriptor(),
            MembersProtocol.getDescriptor(),
            MembershipProtocol.getDescriptor(),
            PlacementProtocol.getDescriptor(),
            QuotaProtocol.getDescriptor());

    /** A field that keeps its number keeps its type, and the number of a removed field is reserved. */
    @ParameterizedTest
    @ValueSource(strings = {"a4c8081", "b329a0b"})
    void fieldsOfEarlierReleasesKeepNumberAndType(String commit) throws IOException {
        Map<String, DescriptorProto> current =
                messages(CURRENT.stream().map(FileDescriptor::toProto).toList());
        List<String> differences = new ArrayList<>();
        messages(recorded(commit)).forEach((name, earlier) -> {
            DescriptorProto present = current.get(name);
            if (present == null) {
                differences.add(name + " is missing");
                return;
            }
            earlier.getFieldList().forEach(field -> compare(name, field, present, differences));
        });
        assertEquals(List.of(), differences);
    }

    /** A value that an earlier release sends has the same meaning here. */
    @ParameterizedTest
    @ValueSource(strings = {"a4c8081", "b329a0b"})
    void enumValuesOfEarlierReleasesKeepTheirNumbers(String commit) throws IOException {
        Map<String, EnumDescriptorProto> current =
                enums(CURRENT.stream().map(FileDescriptor::toProto).toList());
        enums(recorded(commit)).forEach((name, earlier) -> {
            Map<String, Integer> numbers = numbers(current.get(name));
            earlier.getValueList()
                    .forEach(value -> assertEquals(value.getNumber(), numbers.get(value.getName()), name));
        });
    }

    private static void compare(
            String message, FieldDescriptorProto earlier, DescriptorProto present, List<String> differences) {
        present.getFieldList().stream()
                .filter(field -> field.getNumber() == earlier.getNumber())
                .findFirst()
                .ifPresentOrElse(
                        field -> {
                            boolean isSame = field.getType() == earlier.getType()
                                    && field.getLabel() == earlier.getLabel()
                                    && field.getTypeName().equals(earlier.getTypeName())
                                    && field.hasOneofIndex() == earlier.hasOneofIndex();
                            if (!isSame) {
                                differences.add(message + "." + earlier.getName() + " is now " + field.getName());
                            }
                        },
                        () -> {
                            boolean isReserved = present.getReservedRangeList().stream()
                                    .anyMatch(range -> range.getStart() <= earlier.getNumber()
                                            && earlier.getNumber() < range.getEnd());
                            if (!isReserved) {
                                differences.add(message + "." + earlier.getName() + " is gone and not reserved");
                            }
                        });
    }

    private static List<FileDescriptorProto> recorded(String commit) throws IOException {
        try (InputStream input =
                MessageCompatibilityTest.class.getResourceAsStream("/recorded/" + commit + "/messages.bin")) {
            return FileDescriptorSet.parseFrom(input).getFileList();
        }
    }

    private static Map<String, DescriptorProto> messages(List<FileDescriptorProto> files) {
        return files.stream()
                .flatMap(file -> file.getMessageTypeList().stream()
                        .flatMap(message -> withNested(file.getPackage() + "." + message.getName(), message)))
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
    }

    private static Stream<Map.Entry<String, DescriptorProto>> withNested(String name, DescriptorProto message) {
        return Stream.concat(
                Stream.of(Map.entry(name, message)),
                message.getNestedTypeList().stream()
                        .flatMap(nested -> withNested(name + "." + nested.getName(), nested)));
    }

    private static Map<String, EnumDescriptorProto> enums(List<FileDescriptorProto> files) {
        Map<String, EnumDescriptorProto> byName = files.stream()
                .flatMap(file -> file.getEnumTypeList().stream()
                        .map(type -> Map.entry(file.getPackage() + "." + type.getName(), type)))
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
        messages(files).forEach((name, message) -> message.getEnumTypeList()
                .forEach(type -> byName.put(name + "." + type.getName(), type)));
        return byName;
    }

    private static Map<String, Integer> numbers(EnumDescriptorProto type) {
        return type.getValueList().stream()
                .collect(Collectors.toMap(EnumValueDescriptorProto::getName, EnumValueDescriptorProto::getNumber));
    }
}
