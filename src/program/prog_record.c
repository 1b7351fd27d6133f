/* Program ids, and encoding and decoding of records. */
#include <string.h>

#include "program/program.h"

#define RECORD_VERSION	   1
#define RECORD_HEADER_SIZE 26 /* bytes before the program id */

static const char hex_digits[] = "0123456789abcdef";

void
prog_id_format(const struct prog_id *id, char text[PROG_ID_SIZE])
{
	char *p;

	(void)g_snprintf(text, PROG_ID_SIZE, "p-%02x-%04x-", id->datacentre,
	    (unsigned)id->shard);
	p = text + strlen(text);
	for (size_t i = 0; i < PROG_ID_RANDOM_BYTES; i++) {
		*p++ = hex_digits[id->random[i] >> 4];
		*p++ = hex_digits[id->random[i] & 15];
	}
	*p = '\0';
}

static bool
hex_parse(const char *text, size_t count, unsigned *value)
{
	*value = 0;
	for (size_t i = 0; i < count; i++) {
		const char *digit =
		    text[i] != '\0' ? strchr(hex_digits, text[i]) : NULL;

		if (digit == NULL)
			return (false);
		*value = *value * 16 + (unsigned)(digit - hex_digits);
	}
	return (true);
}

bool
prog_id_parse(const char *text, struct prog_id *id)
{
	struct prog_id read;
	unsigned datacentre, shard, byte;

	if (text == NULL || strlen(text) != 10 + 2 * PROG_ID_RANDOM_BYTES)
		return (false);
	if (strncmp(text, "p-", 2) != 0 || text[4] != '-' || text[9] != '-' ||
	    !hex_parse(text + 2, 2, &datacentre) ||
	    !hex_parse(text + 5, 4, &shard))
		return (false);
	read.datacentre = (uint8_t)datacentre;
	read.shard = (uint16_t)shard;
	for (size_t i = 0; i < PROG_ID_RANDOM_BYTES; i++) {
		if (!hex_parse(text + 10 + 2 * i, 2, &byte))
			return (false);
		read.random[i] = (uint8_t)byte;
	}
	*id = read;
	return (true);
}

void
prog_id_derive(uint8_t datacentre, unsigned shards, const char *organisation,
    const char *key, struct prog_id *id)
{
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	uint8_t digest[PROG_DIGEST_SIZE];
	gsize len = sizeof(digest);
	uint32_t number;

	/* The zero byte keeps ("ab", "c") apart from ("a", "bc"). */
	g_checksum_update(sum, (const guchar *)organisation,
	    (gssize)strlen(organisation) + 1);
	g_checksum_update(sum, (const guchar *)key, (gssize)strlen(key));
	g_checksum_get_digest(sum, digest, &len);
	g_checksum_free(sum);
	number = (uint32_t)digest[0] << 24 | (uint32_t)digest[1] << 16 |
	    (uint32_t)digest[2] << 8 | digest[3];
	id->datacentre = datacentre;
	id->shard = (uint16_t)(shards == 0 ? 0 : number % shards);
	memcpy(id->random, digest + 4, PROG_ID_RANDOM_BYTES);
}

static void
put_number(GByteArray *bytes, uint64_t value, unsigned size)
{
	while (size-- > 0) {
		uint8_t byte = (uint8_t)(value >> (8 * size));

		g_byte_array_append(bytes, &byte, 1);
	}
}

static uint64_t
get_number(const uint8_t *data, unsigned size)
{
	uint64_t value = 0;

	for (unsigned i = 0; i < size; i++)
		value = value << 8 | data[i];
	return (value);
}

GByteArray *
prog_record_encode(const struct prog_record *record)
{
	GByteArray *bytes = g_byte_array_sized_new(
	    (guint)(RECORD_HEADER_SIZE + PROG_ID_SIZE + record->payload_len));
	size_t id_len = strlen(record->program);

	put_number(bytes, RECORD_VERSION, 1);
	put_number(bytes, record->kind, 1);
	put_number(bytes, record->datacentre, 1);
	put_number(bytes, id_len, 1);
	put_number(bytes, record->shard, 2);
	put_number(bytes, record->epoch, 8);
	put_number(bytes, record->seq, 8);
	put_number(bytes, record->payload_len, 4);
	g_byte_array_append(
	    bytes, (const guint8 *)record->program, (guint)id_len);
	g_byte_array_append(
	    bytes, (const guint8 *)record->payload, (guint)record->payload_len);
	return (bytes);
}

bool
prog_record_decode(const void *data, size_t len, struct prog_record *record)
{
	const uint8_t *bytes = data;
	struct prog_record read = {0};
	struct prog_id id;
	size_t id_len, header = RECORD_HEADER_SIZE;

	if (len < header || bytes[0] != RECORD_VERSION)
		return (false);
	if (bytes[1] < PROG_RECORD_RECOVER || bytes[1] > PROG_RECORD_PROVEN)
		return (false);
	read.kind = (enum prog_record_kind)bytes[1];
	read.datacentre = bytes[2];
	id_len = bytes[3];
	read.shard = (uint16_t)get_number(bytes + 4, 2);
	read.epoch = get_number(bytes + 6, 8);
	read.seq = get_number(bytes + 14, 8);
	read.payload_len = (size_t)get_number(bytes + 22, 4);
	if (id_len >= PROG_ID_SIZE || read.payload_len > PROG_PAYLOAD_MAX ||
	    len != header + id_len + read.payload_len)
		return (false);
	memcpy(read.program, bytes + header, id_len);
	if (read.kind == PROG_RECORD_RECOVER ||
	    read.kind == PROG_RECORD_EXPORT_HEAD ||
	    read.kind == PROG_RECORD_PROVEN) {
		if (id_len != 0)
			return (false);
	} else if (strlen(read.program) != id_len ||
	    !prog_id_parse(read.program, &id)) {
		return (false);
	}
	read.payload = (const char *)bytes + header + id_len;
	*record = read;
	return (true);
}

static void
record_free(void *data)
{
	struct prog_record *record = data;

	g_free((char *)record->payload);
	g_free(record);
}

GPtrArray *
prog_records_new(void)
{
	return (g_ptr_array_new_with_free_func(record_free));
}

void
prog_records_add(GPtrArray *records, const struct prog_record *record)
{
	struct prog_record *copy = g_new(struct prog_record, 1);
	char *payload = g_malloc(record->payload_len + 1);

	*copy = *record;
	memcpy(payload, record->payload, record->payload_len);
	payload[record->payload_len] = '\0';
	copy->payload = payload;
	g_ptr_array_add(records, copy);
}
