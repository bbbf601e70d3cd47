package org.agatestream.core

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.descriptors.PolymorphicKind
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.descriptors.elementDescriptors
import kotlinx.serialization.descriptors.elementNames
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.longOrNull

/** Validates JSON values against the structure that a serializer expects and collects all faults. */
@OptIn(ExperimentalSerializationApi::class)
internal class JsonShape(
    private val path: String,
) {
    private val faults = mutableListOf<SettingFault>()

    fun check(
        descriptor: SerialDescriptor,
        element: JsonElement,
    ): List<SettingFault> {
        visit(descriptor, element, "")
        return faults
    }

    private fun visit(
        descriptor: SerialDescriptor,
        element: JsonElement,
        field: String,
    ) {
        when {
            element is JsonNull -> if (!descriptor.isNullable) add(field, "null", describe(descriptor))
            descriptor.isInline -> visit(descriptor.getElementDescriptor(0), element, field)
            descriptor.kind == StructureKind.CLASS -> visitObject(descriptor, element, field)
            descriptor.kind == StructureKind.LIST -> visitList(descriptor, element, field)
            descriptor.kind == StructureKind.MAP -> visitMap(descriptor, element, field)
            descriptor.kind is PolymorphicKind -> Unit
            descriptor.kind == SerialKind.ENUM -> visitEnum(descriptor, element, field)
            else -> visitPrimitive(descriptor, element, field)
        }
    }

    private fun visitObject(
        descriptor: SerialDescriptor,
        element: JsonElement,
        field: String,
    ) {
        if (element !is JsonObject) return add(field, kindOf(element), "an object")
        val names = descriptor.elementNames.toList()
        for (name in element.keys - names.toSet()) {
            add(join(field, name), "an unknown field", names.joinToString(", "))
        }
        for ((index, name) in names.withIndex()) {
            val value = element[name]
            val required = !descriptor.isElementOptional(index)
            if (value != null) visit(descriptor.getElementDescriptor(index), value, join(field, name))
            if (value == null && required) add(join(field, name), "nothing", "a value; the field is required")
        }
    }

    private fun visitList(
        descriptor: SerialDescriptor,
        element: JsonElement,
        field: String,
    ) {
        if (element !is JsonArray) return add(field, kindOf(element), "a list")
        val item = descriptor.elementDescriptors.first()
        element.forEachIndexed { index, value -> visit(item, value, "$field[$index]") }
    }

    private fun visitMap(
        descriptor: SerialDescriptor,
        element: JsonElement,
        field: String,
    ) {
        if (element !is JsonObject) return add(field, kindOf(element), "an object")
        val item = descriptor.getElementDescriptor(1)
        element.forEach { (name, value) -> visit(item, value, join(field, name)) }
    }

    private fun visitEnum(
        descriptor: SerialDescriptor,
        element: JsonElement,
        field: String,
    ) {
        val allowed = descriptor.elementNames.toList()
        val found = (element as? JsonPrimitive)?.content
        if (found !in allowed) add(field, found ?: kindOf(element), allowed.joinToString(" or "))
    }

    private fun visitPrimitive(
        descriptor: SerialDescriptor,
        element: JsonElement,
        field: String,
    ) {
        val value = element as? JsonPrimitive
        val isValid =
            when (descriptor.kind) {
                PrimitiveKind.STRING -> value?.isString == true
                PrimitiveKind.BOOLEAN -> value?.isString == false && value.booleanOrNull != null
                PrimitiveKind.DOUBLE -> value?.isString == false && value.doubleOrNull?.isFinite() == true
                PrimitiveKind.INT -> value?.isString == false && value.longOrNull in INT_RANGE
                else -> value?.isString == false && value.longOrNull != null
            }
        if (!isValid) add(field, kindOf(element), describe(descriptor))
    }

    private fun add(
        field: String,
        found: String,
        allowed: String,
    ) {
        faults += SettingFault(path, field, found, allowed)
    }

    private fun describe(descriptor: SerialDescriptor): String =
        when (descriptor.kind) {
            PrimitiveKind.STRING -> "a string"
            PrimitiveKind.BOOLEAN -> "true or false"
            PrimitiveKind.DOUBLE -> "a number"
            PrimitiveKind.INT, PrimitiveKind.LONG -> "a whole number"
            StructureKind.LIST -> "a list"
            StructureKind.CLASS, StructureKind.MAP -> "an object"
            else -> descriptor.serialName
        }

    private fun kindOf(element: JsonElement): String =
        when (element) {
            is JsonNull -> "null"
            is JsonObject -> "an object"
            is JsonArray -> "a list"
            is JsonPrimitive -> if (element.isString) "the string \"${element.content}\"" else element.content
        }

    private fun join(
        field: String,
        name: String,
    ): String = if (field.isEmpty()) name else "$field.$name"

    private companion object {
        val INT_RANGE = Int.MIN_VALUE.toLong()..Int.MAX_VALUE.toLong()
    }
}
