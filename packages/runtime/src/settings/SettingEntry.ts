import type { z } from 'zod'

/** One setting of a program: a flag and an environment variable. @public */
export interface SettingEntry<Value = unknown> {
  /** Without the leading dashes. */
  readonly flag: string
  readonly env: string
  readonly description: string
  /** Written form of the default; absent: the setting is required, unless `optional`. */
  readonly default?: string
  readonly optional?: boolean
  /** A flag without a value. */
  readonly isSwitch?: boolean
  /** Checks and converts the written form. */
  readonly schema: z.ZodType<Value, string>
}

/** The settings of a program by the names that it uses for them. @public */
export type SettingsTable = Readonly<Record<string, SettingEntry>>

/** Checked values of a settings table; optional settings that are not set are undefined. @public */
export type SettingValues<Table extends SettingsTable> = {
  readonly [Name in keyof Table]: Table[Name] extends SettingEntry<infer Value>
    ? Table[Name]['optional'] extends true ? Value | undefined : Value
    : never
}

/**
 * Keeps the types of a settings table.
 *
 * @param table - the table
 * @returns the same table
 * @public
 */
export function defineSettings<const Table extends SettingsTable> (table: Table): Table {
  return table
}
