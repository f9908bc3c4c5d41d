import { defineConfig } from 'vitest/config'

export default defineConfig({
  test: {
    include: ['platform/**/*.test.ts', 'packages/**/*.test.ts', 'apps/**/*.test.ts', 'standins/**/*.test.ts'],
    setupFiles: ['./vitest.setup.ts'],
    testTimeout: 60_000,
    hookTimeout: 60_000,
    // With four workers, a busy worker exceeded the 60 s within which it must respond to the runner.
    maxWorkers: 3,
    minWorkers: 1
  }
})
