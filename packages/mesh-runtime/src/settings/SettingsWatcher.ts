import type { ConsolaInstance } from 'consola'
import { readFile } from 'node:fs/promises'
import { type MeshSettings, readMeshSettings } from './readMeshSettings'

/** Time between two looks at the file; it may change without a signal. */
const CHECK_INTERVAL_MS = 2_000

/** @public */
export interface SettingsWatcherOptions {
  readonly path: string
  /** The content that is in force. */
  readonly content: string
  readonly log: ConsolaInstance
  /** Called with each changed and valid file. */
  readonly onChange: (settings: MeshSettings) => void
}

/** Reads the settings file again when it has changed. A file with an error is reported and not applied. @public */
export class SettingsWatcher {
  private content: string
  private readonly timer: NodeJS.Timeout

  constructor (private readonly options: SettingsWatcherOptions) {
    this.content = options.content
    this.timer = setInterval(() => { void this.check() }, CHECK_INTERVAL_MS)
    this.timer.unref()
  }

  /** Looks at the file now. */
  async check (): Promise<void> {
    const { path, log, onChange } = this.options
    try {
      const content = await readFile(path, 'utf8')
      if (content === this.content) return
      this.content = content
      onChange(readMeshSettings(content))
      log.info('settings file read again')
    } catch (err) {
      log.warn('settings file not applied', { error: err instanceof Error ? err.message : String(err) })
    }
  }

  /** Ends the watch. */
  stop (): void {
    clearInterval(this.timer)
  }
}
